// Guards against entries that disagree on the configuration. Exactly one of
// several concurrent publishes wins, the same one at every entry. No entry
// returns to an older revision, whatever the log has trimmed.

#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include "src/configlog/config_replica.h"
#include "src/libs/rpc/codec.h"
#include "src/libs/settings/settings.h"

namespace mimosarail::configlog {
namespace {

std::string Text(const std::string& name) {
  return R"({"rules": [{"name": ")" + name + R"("}]})";
}

/// A log in a vector; the offset of a record is its index.
struct FakeLog {
  std::vector<wire::LogRecord> records;
  /// Records before this offset have been trimmed.
  int64_t first_retained = 0;

  int64_t Append(const wire::ConfigRecord& record) {
    wire::LogRecord entry;
    entry.offset = static_cast<int64_t>(records.size());
    entry.data = rpc::Encode(record);
    records.push_back(entry);
    return entry.offset;
  }
  int64_t Publish(const std::string& id, int64_t base,
                  const std::string& text) {
    wire::ConfigRecord record;
    record.kind = wire::ConfigKind::kPublish;
    record.id = id;
    record.base = base;
    record.author = id;
    record.text = text;
    return Append(record);
  }
  int64_t Checkpoint(int64_t revision, int64_t as_of, const std::string& text) {
    wire::ConfigRecord record;
    record.kind = wire::ConfigKind::kCheckpoint;
    record.id = "checkpoint";
    record.base = revision;
    record.as_of = as_of;
    record.text = text;
    return Append(record);
  }
  /// The records that a reader gets that reads from `offset` on.
  std::vector<wire::LogRecord> From(int64_t offset) const {
    std::vector<wire::LogRecord> out;
    for (const auto& record : records) {
      if (record.offset >= std::max(offset, first_retained)) {
        out.push_back(record);
      }
    }
    return out;
  }
  void FeedTo(ConfigReplica& replica) const {
    replica.ApplyRead(first_retained, From(replica.next_offset()));
  }
};

}  // namespace

// Two operators publish at once, both based on revision 1. Every replica must
// accept the publish with the lower offset. It must refuse the other one, and
// state the revision that is in force.
BOOST_AUTO_TEST_CASE(the_publish_with_the_lowest_offset_wins) {
  FakeLog log;
  log.Publish("a", 0, Text("one"));
  log.Publish("b", 1, Text("two"));
  log.Publish("c", 1, Text("three"));
  ConfigReplica replica;
  log.FeedTo(replica);
  BOOST_TEST(replica.revision() == 2);
  BOOST_TEST(replica.in_force().text == Text("two"));
  const AuditEntry* loser = replica.FindAuditEntry("c");
  BOOST_REQUIRE(loser != nullptr);
  BOOST_TEST((loser->decision == Decision::kStaleBase));
  BOOST_TEST(loser->revision == 2);
}

// The reply to an append is lost and the publisher appends the same id again.
// The second record must neither be applied nor be refused as stale.
BOOST_AUTO_TEST_CASE(a_repeated_publish_is_applied_once) {
  FakeLog log;
  log.Publish("a", 0, Text("one"));
  log.Publish("a", 0, Text("one"));
  ConfigReplica replica;
  log.FeedTo(replica);
  BOOST_TEST(replica.revision() == 1);
  BOOST_TEST((replica.audit_trail().back().decision == Decision::kDuplicate));
}

// A slow entry appends its checkpoint of revision 1 after revision 2 is in the
// log, and all records before that checkpoint are trimmed. An entry that starts
// then must not take the old checkpoint for the revision in force.
BOOST_AUTO_TEST_CASE(a_late_checkpoint_never_restores_an_old_revision) {
  FakeLog log;
  log.Publish("a", 0, Text("one"));
  log.Publish("b", 1, Text("two"));
  const int64_t late = log.Checkpoint(1, 1, Text("one"));
  log.first_retained = late;
  ConfigReplica fresh;
  log.FeedTo(fresh);
  BOOST_TEST(!fresh.revision_known());
  BOOST_TEST(fresh.revision() == 0);
  // A checkpoint that covers the publish closes the gap, together with the
  // records after it.
  log.Publish("c", 2, Text("three"));
  log.Checkpoint(2, 3, Text("two"));
  log.FeedTo(fresh);
  BOOST_TEST(fresh.revision_known());
  BOOST_TEST(fresh.revision() == 3);
  BOOST_TEST(fresh.in_force().text == Text("three"));
}

// An entry is partitioned until the log has trimmed records that it has not
// read. It must keep its revision and must not decide on a publish before a
// checkpoint covers the missed records.
BOOST_AUTO_TEST_CASE(a_reader_that_missed_records_waits_for_a_checkpoint) {
  FakeLog log;
  log.Publish("a", 0, Text("one"));
  ConfigReplica replica;
  log.FeedTo(replica);
  log.Publish("b", 1, Text("two"));
  const int64_t next = log.Publish("c", 2, Text("three"));
  log.first_retained = next;
  log.FeedTo(replica);
  BOOST_TEST(!replica.revision_known());
  BOOST_TEST(replica.revision() == 1);
  log.Checkpoint(3, next + 1, Text("three"));
  log.FeedTo(replica);
  BOOST_TEST(replica.revision_known());
  BOOST_TEST(replica.revision() == 3);
}

// A checkpoint that states an older revision than the one in force here must
// never be adopted, whichever entry wrote it.
BOOST_AUTO_TEST_CASE(an_older_checkpoint_is_rejected_after_a_gap) {
  FakeLog log;
  log.Publish("a", 0, Text("one"));
  log.Publish("b", 1, Text("two"));
  ConfigReplica replica;
  log.FeedTo(replica);
  log.Publish("c", 2, Text("three"));
  log.first_retained = log.Checkpoint(1, 9, Text("one"));
  log.FeedTo(replica);
  BOOST_TEST(replica.revision() == 2);
  BOOST_TEST(replica.in_force().text == Text("two"));
}

// While the log is down, peers report their revisions. A newer revision is
// adopted, an older one is not. An entry that has read nothing also adopts a
// revision, and continues to read after it.
BOOST_AUTO_TEST_CASE(peers_never_lower_the_revision) {
  FakeLog log;
  log.Publish("a", 0, Text("one"));
  log.Publish("b", 1, Text("two"));
  ConfigReplica replica;
  log.FeedTo(replica);
  BOOST_TEST(
      !replica.AdoptFromPeer({.revision = 1, .as_of = 9, .text = Text("one")}));
  BOOST_TEST(replica.revision() == 2);
  BOOST_TEST(replica.AdoptFromPeer(
      {.revision = 3, .as_of = 9, .text = Text("three")}));
  BOOST_TEST(replica.revision() == 3);
  ConfigReplica fresh;
  BOOST_TEST(
      fresh.AdoptFromPeer({.revision = 3, .as_of = 9, .text = Text("three")}));
  BOOST_TEST(fresh.next_offset() == 9);
}

BOOST_AUTO_TEST_CASE(the_difference_names_what_changed) {
  const auto lines = Difference(
      R"({"rules": [{"name": "a"}, {"name": "b"}, {"name": "c"}]})",
      R"({"limits": {"waiting": 5}, "rules": [{"name": "c"}, {"name": "a", "then": {"priority": 1}}, {"name": "d"}]})");
  BOOST_TEST(lines.size() == 5U);
  BOOST_TEST(lines[0] == "- rule b");
}

}  // namespace mimosarail::configlog

namespace mimosarail::settings {

BOOST_AUTO_TEST_CASE(settings_report_all_faults_with_line_and_column) {
  Findings findings;
  const auto parsed = Parse(R"({
  // a comment
  "name": "e", "failure_domain": "d", "listen": "host:1",
  "http_listen": "127.0.0.1:80", "log_address": "127.0.0.1:1",
  "lease_ms": 5, "colour": 3,
  "peers": ["127.0.0.1:1", "nowhere"]
})",
                            findings);
  BOOST_TEST(!parsed.has_value());
  const std::string text = findings.ToString();
  for (const char* part :
       {"3:39 listen: must be ip:port", "list_address: is missing",
        "5:3 lease_ms: must be from 200", "5:18 colour: unknown key",
        "6:28 peers[1]: must be ip:port"}) {
    BOOST_TEST(text.find(part) != std::string::npos, part << " not in\n"
                                                          << text);
  }
}

BOOST_AUTO_TEST_CASE(settings_that_violate_a_constraint_are_rejected) {
  Findings findings;
  Settings settings{.name = "e",
                    .failure_domain = "d",
                    .listen = "127.0.0.1:1",
                    .http_listen = "127.0.0.1:2",
                    .log_address = "127.0.0.1:3",
                    .list_address = "127.0.0.1:4"};
  settings.lease_ms = settings.dead_ms;
  std::string text = Print(settings);
  text.replace(text.find("\"advertise\": \"\""), 15, "\"region\": \"x\"");
  text.erase(text.find("  \"region\": \"local\",\n"), 21);
  BOOST_TEST(!Parse(text, findings).has_value());
  BOOST_TEST(
      findings.ToString().find("at least twice dead_ms") != std::string::npos,
      findings.ToString());
}

}  // namespace mimosarail::settings
