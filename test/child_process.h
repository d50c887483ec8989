#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rosemarydrum {

/// A process that a test starts and ends. Stores the lines of its standard
/// output and standard error.
class child_process {
 public:
  child_process(const std::string& program,
                const std::vector<std::string>& arguments) {
    int input[2];
    int output[2];
    if (pipe2(input, O_CLOEXEC) != 0 || pipe2(output, O_CLOEXEC) != 0) {
      throw std::runtime_error("cannot create pipes for " + program);
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, input[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDERR_FILENO);
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& word : words) {
      argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    const int error = posix_spawn(&id_, program.c_str(), &actions, nullptr,
                                  argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(input[0]);
    close(output[1]);
    input_ = input[1];
    output_ = fdopen(output[0], "r");
    if (error != 0 || output_ == nullptr) {
      throw std::runtime_error("cannot start " + program);
    }
    reader_ = std::thread([this] { read(); });
  }

  ~child_process() {
    signal(SIGKILL);
    wait_exit(std::chrono::seconds(5));
    reader_.join();
    close(input_);
    fclose(output_);
  }
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Sends a signal unless the process has been waited for.
  void signal(int number) const {
    if (!status_) {
      kill(id_, number);
    }
  }

  void write_line(const std::string& line) const {
    const auto text = line + "\n";
    static_cast<void>(!write(input_, text.data(), text.size()));
  }

  /// Returns the wait status once the process has ended, nullopt after `limit`.
  std::optional<int> wait_exit(std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!status_) {
      int status = 0;
      if (waitpid(id_, &status, WNOHANG) == id_) {
        status_ = status;
      } else if (std::chrono::steady_clock::now() >= end) {
        break;
      } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    }
    return status_;
  }

  /// Returns the text after `marker` in the first line, from index `from` on,
  /// that contains it. Throws if there is none within `limit`.
  std::string line_after(
      const std::string& marker, std::size_t from = 0,
      std::chrono::milliseconds limit = std::chrono::seconds(10)) {
    std::unique_lock lock(mutex_);
    std::optional<std::string> found;
    changed_.wait_for(lock, limit, [&] {
      for (; from < lines_.size() && !found; ++from) {
        const auto at = lines_[from].find(marker);
        if (at != std::string::npos) {
          found = lines_[from].substr(at + marker.size());
        }
      }
      return found.has_value();
    });
    if (!found) {
      throw std::runtime_error("no line contains " + marker);
    }
    return *found;
  }

  std::vector<std::string> lines() {
    const std::lock_guard lock(mutex_);
    return lines_;
  }

 private:
  void read() {
    char* text = nullptr;
    std::size_t size = 0;
    for (ssize_t got = 0; (got = getline(&text, &size, output_)) > 0;) {
      const std::lock_guard lock(mutex_);
      lines_.emplace_back(text, static_cast<std::size_t>(got) - 1);
      changed_.notify_all();
    }
    free(text);
  }

  pid_t id_ = 0;
  int input_ = -1;
  FILE* output_ = nullptr;
  std::optional<int> status_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lines_;
  std::thread reader_;
};

}  // namespace rosemarydrum
