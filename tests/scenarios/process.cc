#include "tests/scenarios/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

namespace mimosarail::scenarios {

Process::Process(std::vector<std::string> arguments,
                 const std::string& log_file) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) !=
      0) {
    pid_ = -1;
    ended_ = true;
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process() {
  if (ended_) return;
  Signal(SIGKILL);
  Wait();
}

void Process::Signal(int signal) const {
  if (!ended_ && pid_ > 0) kill(pid_, signal);
}

int Process::Wait() {
  if (ended_) return code_;
  int status = 0;
  waitpid(pid_, &status, 0);
  ended_ = true;
  code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return code_;
}

bool Process::Alive() {
  if (ended_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0) return true;
  ended_ = true;
  code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

int FreePort() {
  // The socket stays bound, without listening, until this process ends: the
  // kernel then assigns the port to no other process, while a child that sets
  // SO_REUSEADDR or SO_REUSEPORT may still listen on it.
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (bind(fd, raw, size) != 0) std::abort();
  getsockname(fd, raw, &size);
  return ntohs(address.sin_port);
}

}  // namespace mimosarail::scenarios
