/** @file process_start_test.cc Signals that reach a process while it starts. */
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <thread>

namespace gv {
namespace {

TEST_CASE("process start: a reload while it starts does not end it") {
  // The settings are a pipe, so the process waits in the middle of its start.
  const std::filesystem::path pipe = std::filesystem::temp_directory_path() /
                                     ("gv_start_" + std::to_string(getpid()));
  REQUIRE(mkfifo(pipe.c_str(), 0600) == 0);
  const std::string settings = "--settings=" + pipe.string();
  const pid_t pid = fork();
  if (pid == 0) {
    const int null = open("/dev/null", O_WRONLY);
    dup2(null, STDERR_FILENO);
    execl(GV_BINARY, GV_BINARY, "run", settings.c_str(), nullptr);
    _exit(127);
  }
  // Opens once the process has.
  const int write_end = open(pipe.c_str(), O_WRONLY);
  REQUIRE(write_end >= 0);
  kill(pid, SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  int status = 0;
  CHECK(waitpid(pid, &status, WNOHANG) == 0);
  // It reads no settings and exits with an error of its own.
  close(write_end);
  waitpid(pid, &status, 0);
  CHECK(WIFEXITED(status));
  std::filesystem::remove(pipe);
}

}  // namespace
}  // namespace gv
