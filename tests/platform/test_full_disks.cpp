// The disks of the control processes are full for some seconds, one after another. Real processes; the test takes the
// part of the operator.

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include "../support/fleet_deployment.h"

using namespace persimmongrade;

namespace {

constexpr std::size_t control_count = 5;
constexpr duration full_time = ms(2500);
constexpr duration change_interval = ms(40);
constexpr duration recovery_time = ms(4000);

class full_disks {
public:
    full_disks() : system("full-disks", {.controls = control_count, .gateways = 1}) {
        REQUIRE(this->system.submit_until_accepted(fleet_deployment::items(1)));
        this->version = 1;
        this->changes = this->system.loop.every(change_interval, [this] { this->change(); });
    }

    ~full_disks() {
        this->system.loop.cancel(this->changes);
        this->system.keep_logs = !this->has_passed;
    }

    full_disks(const full_disks&) = delete;
    full_disks& operator=(const full_disks&) = delete;

    // No file of the process grows beyond `bytes`; a write that begins below is cut off there.
    void limit_files(std::size_t control, rlim_t bytes) {
        rlimit limit{};
        pid_t process = this->system.process("control-" + std::to_string(control)).running->id();
        REQUIRE(::prlimit(process, RLIMIT_FSIZE, nullptr, &limit) == 0);
        limit.rlim_cur = bytes;
        REQUIRE(::prlimit(process, RLIMIT_FSIZE, &limit, nullptr) == 0);
    }

    std::size_t log_bytes(std::size_t control) const {
        std::size_t most = 0;
        std::string directory = this->system.directory + "/control-" + std::to_string(control);
        for (const auto& entry : std::filesystem::recursive_directory_iterator(directory)) {
            if (entry.is_regular_file() && entry.path().filename().string().starts_with("log-")) {
                most = std::max<std::size_t>(most, entry.file_size());
            }
        }
        return most;
    }

    bool has_failed(std::size_t control) {
        std::ifstream log(this->system.process("control-" + std::to_string(control)).log);
        std::string text((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
        return text.find("storage failed") != std::string::npos;
    }

    // Version of a route as a control process answers it, and whether it answered.
    std::pair<bool, std::string> read_back() {
        std::pair<bool, std::string> result{false, {}};
        for (std::size_t i = 0; i < control_count && !result.first; ++i) {
            this->system.call(fleet_deployment::control_address(i), "GET", "/api/config", "", ms(900),
                              [&](int status, const http_response& response) {
                                  if (status == 200) {
                                      auto document = nlohmann::json::parse(response.body);
                                      result = {true, document["routes"]["safe"]["version"]};
                                  }
                              });
            this->system.loop.run_for(ms(1000));
        }
        return result;
    }

    fleet_deployment system;
    std::uint64_t version = 0;
    std::uint64_t accepted = 0;  // newest version that was acknowledged
    std::size_t accepted_changes = 0;
    bool has_passed = false;

private:
    void change() {
        std::uint64_t sent = ++this->version;
        this->system.submit(fleet_deployment::items(sent), fleet_deployment::control_address(sent % control_count),
                            [this, sent](int status) {
                                if (status == 200) {
                                    this->accepted = std::max(this->accepted, sent);
                                    ++this->accepted_changes;
                                }
                            });
    }

    timer_id changes = 0;
};

}  // namespace

// Other operators saw changes refused or unanswered to the end of the day, long after the last disk had room again.
TEST_CASE("changes are accepted again after the disks of all control processes were full one after another") {
    full_disks test;
    constexpr std::size_t cut_off_bytes = 70;  // of the next batch
    for (std::size_t i = 0; i < control_count; ++i) {
        test.limit_files(i, test.log_bytes(i) + (i % 2 == 0 ? cut_off_bytes : 0));
        test.system.loop.run_for(full_time);
        test.limit_files(i, RLIM_INFINITY);
        test.system.loop.run_for(ms(1000));
        CHECK(test.has_failed(i));
    }
    test.system.loop.run_for(recovery_time);
    std::size_t before = test.accepted_changes;
    std::uint64_t sent_before = test.version;
    test.system.loop.run_for(ms(2000));
    // Each change is sent once, to one control process after another, and follows a redirect to the leader.
    CHECK(test.accepted_changes - before >= (test.version - sent_before) * 9 / 10);
    test.system.loop.run_for(ms(500));
    std::uint64_t accepted = test.accepted;  // more are accepted meanwhile
    auto [answered, version] = test.read_back();
    REQUIRE(answered);
    CHECK(std::stoull(version.substr(1)) >= accepted);
    test.has_passed = std::stoull(version.substr(1)) >= accepted;
}
