// A program started by a test and ended by its process id. The product itself starts no process.

#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace persimmongrade {

class child_process {
public:
    // Starts <PERSIMMONGRADE_BIN>/<program>; output goes to `log_file`.
    child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_file) {
        const char* directory = std::getenv("PERSIMMONGRADE_BIN");
        std::string path = std::string(directory == nullptr ? "build/bin" : directory) + "/" + program;
        std::vector<std::string> words = arguments;
        words.insert(words.begin(), path);
        std::vector<char*> pointers;
        for (std::string& word : words) {
            pointers.push_back(word.data());
        }
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        int failure = posix_spawn(&this->pid, path.c_str(), &files, nullptr, pointers.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        if (failure != 0) {
            throw std::runtime_error("cannot start " + path);
        }
    }

    ~child_process() {
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
        }
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept : pid(std::exchange(other.pid, -1)) {}
    child_process& operator=(child_process&& other) noexcept {
        std::swap(this->pid, other.pid);
        return *this;
    }

    pid_t id() const { return this->pid; }

    // False, and no effect, once the process has ended: an id of -1 would reach every process of the user.
    bool signal(int number) const { return this->pid > 0 && ::kill(this->pid, number) == 0; }

    void kill_now() {
        if (this->pid > 0) {
            this->signal(SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
            this->pid = -1;
        }
    }

    // Exit code, or minus the signal number; -1000 when it still runs after `limit`.
    int wait(std::chrono::milliseconds limit) {
        auto until = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < until) {
            int status = 0;
            if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
                this->pid = -1;
                return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return -1000;
    }

    bool running() const {
        siginfo_t info{};
        bool known =
            this->pid > 0 && ::waitid(P_PID, static_cast<id_t>(this->pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0;
        return known && info.si_pid == 0;
    }

private:
    pid_t pid = -1;
};

}  // namespace persimmongrade
