#include <gflags/gflags.h>

#include "src/tool/commands.h"

DEFINE_string(server, "127.0.0.1:8080", "ip:port of an entry instance's HTTP");
DEFINE_bool(json, false, "print JSON, for replies as the instance sent it");
DEFINE_string(author, "", "who publishes, for the audit trail");
DEFINE_int64(base, -1, "revision that the published rules were edited from");
DEFINE_int64(wait_ms, 0, "how long to wait for the outcome");
DEFINE_string(
    against, "",
    "rules: file with an array of requests to try the rules on; config: "
    "document in force");
DEFINE_string(team, "", "cancel: requests of this team");
DEFINE_string(work, "", "cancel: requests of this kind of work");
DEFINE_string(compare, "", "cost: two revisions to compare, such as 3,4");
DEFINE_string(peer, "", "job: ip:port where an entry takes its peers' calls");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(mimosarail::tool::Usage());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> args(argv + 1, argv + argc);
  return static_cast<int>(mimosarail::tool::Run(args, {.server = FLAGS_server,
                                                       .json = FLAGS_json,
                                                       .author = FLAGS_author,
                                                       .base = FLAGS_base,
                                                       .wait_ms = FLAGS_wait_ms,
                                                       .against = FLAGS_against,
                                                       .team = FLAGS_team,
                                                       .work = FLAGS_work,
                                                       .compare = FLAGS_compare,
                                                       .peer = FLAGS_peer}));
}
