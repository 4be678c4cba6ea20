// Guards the data directory of a consensus member against torn writes, corruption, failed writes, reuse of an identity,
// and arbitrary file contents.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <chrono>
#include <filesystem>
#include <iostream>

#include <fcntl.h>
#include <unistd.h>

#include "memory_file_system.h"

using namespace persimmongrade;

namespace {

using memory_storage = log_storage<memory_file_system>;

wire::voter_set_t single_voter_set() {
    wire::voter_set_t set;
    set.voters.push_back(std::make_unique<wire::voter_t>());
    set.voters.back()->id = "control-1";
    return set;
}

storage_options options(bool bootstrap = true, std::uint64_t segment_bytes = 300) {
    storage_options result{"d", "control-1", {}, 0xabc, segment_bytes};
    if (bootstrap) {
        result.bootstrap = single_voter_set();
    }
    return result;
}

actions entries_from(std::uint64_t first, std::size_t count, std::size_t payload_bytes = 10) {
    actions todo;
    todo.previous_term = first == 1 ? 0 : 1;
    for (std::size_t i = 0; i < count; ++i) {
        wire::log_entry_t entry;
        entry.term = 1;
        entry.index = first + i;
        entry.kind = wire::entry_kind::command;
        entry.payload.assign(payload_bytes, static_cast<std::uint8_t>(entry.index));
        todo.entries.push_back(entry);
    }
    return todo;
}

// Writes batches of the given sizes (in entries) and returns the total number of entries.
std::uint64_t write_batches(memory_file_system& files, const std::vector<std::size_t>& sizes) {
    memory_storage storage(files, options());
    std::uint64_t next = 1;
    for (auto size : sizes) {
        storage.persist(entries_from(next, size));
        next += size;
    }
    return next - 1;
}

std::vector<std::size_t> batch_sizes() {
    auto size = rc::gen::inRange<std::size_t>(1, 8);
    return *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(size));
}

// The file names of the log segments, oldest first.
std::vector<std::string> segments_of(memory_file_system& files) {
    auto names = files.list("d");
    std::erase_if(names, [](const std::string& name) { return !storage_names::is_segment(name); });
    return names;
}

const char* const decoder_names[] = {"identity", "hard state", "snapshot", "segment"};

// Returns whether the bytes are valid; where the format is canonical, encoding the value again must give the same
// bytes. Exceptions other than log_corrupt are passed on.
bool decode_if_valid(std::size_t kind, const byte_string& bytes) {
    try {
        switch (kind) {
        case 0:
            RC_ASSERT(encode_identity(decode_identity("f", bytes)) == bytes);
            break;
        case 1:
            RC_ASSERT(encode_hard_state(decode_hard_state("f", bytes)) == bytes);
            break;
        case 2:
            decode_snapshot("f", bytes);
            break;
        default:
            RC_ASSERT(decode_segment("f", bytes, true).valid_bytes <= bytes.size());
            decode_segment("f", bytes, false);
        }
        return true;
    } catch (const log_corrupt&) {
        return false;
    }
}

byte_string example_bytes(std::size_t kind) {
    switch (kind) {
    case 0:
        return encode_identity({"control-1", "control-1.00"});
    case 1:
        return encode_hard_state({7, "control-2"});
    case 2:
        return encode_snapshot({9, 2, single_voter_set(), {1, 2, 3}});
    default: {
        auto bytes = encode_segment_header(1);
        for (std::uint64_t first : {1, 3}) {
            auto todo = entries_from(first, 2);
            auto batch = encode_batch({todo.previous_term, todo.entries}, bytes.size());
            bytes.insert(bytes.end(), batch.begin(), batch.end());
        }
        return bytes;
    }
    }
}

}  // namespace

TEST_CASE("a torn last batch is cut off and every batch before it is kept") {
    rc::prop("any length of the torn batch, then writing continues", [] {
        memory_file_system files;
        auto sizes = batch_sizes();
        auto written = write_batches(files, sizes);
        auto& bytes = files.bytes_of("d/" + segments_of(files).back());
        auto batch = encode_batch({1, entries_from(written - sizes.back() + 1, sizes.back()).entries}, 0).size();
        auto cut = *rc::gen::inRange<std::size_t>(1, batch + 1);
        bytes.resize(bytes.size() - cut);
        memory_storage storage(files, options());
        auto kept = storage.take_state().entries.size();
        RC_ASSERT(kept == written - sizes.back());
        auto appended = entries_from(kept + 1, 2);
        storage.persist(appended);
        memory_storage reopened(files, options());
        RC_ASSERT(reopened.take_state().entries.size() == kept + 2);
    });
}

TEST_CASE("damage before the last batch is reported as log_corrupt") {
    rc::prop("any flipped bit", [] {
        memory_file_system files;
        auto sizes = batch_sizes();
        sizes.push_back(1);
        write_batches(files, sizes);
        auto names = segments_of(files);
        auto name = *rc::gen::elementOf(names);
        auto& bytes = files.bytes_of("d/" + name);
        auto last_batch = encode_batch({1, entries_from(2, 1).entries}, 0).size();
        auto limit = bytes.size() - (name == names.back() ? last_batch : 0);
        RC_PRE(limit > 24);
        bytes[*rc::gen::inRange<std::size_t>(0, limit)] ^= static_cast<std::uint8_t>(1 << *rc::gen::inRange(0, 8));
        RC_ASSERT_THROWS_AS(memory_storage(files, options()), log_corrupt);
    });
}

TEST_CASE("damaged, missing or newer files are reported as log_corrupt") {
    memory_file_system files;
    write_batches(files, {8, 8, 8, 8, 8, 8});
    REQUIRE(segments_of(files).size() > 2);
    auto damage = GENERATE(0, 1, 2, 3);
    if (damage == 0) {
        files.bytes_of("d/hard-state")[9] ^= 1;
    } else if (damage == 1) {
        files.bytes_of("d/snapshot")[4] = 2;  // format version
    } else if (damage == 2) {
        files.remove("d/hard-state");
    } else {
        files.remove("d/" + segments_of(files)[1]);
    }
    CHECK_THROWS_AS(memory_storage(files, options()), log_corrupt);
}

TEST_CASE("after a failed sync or a full disk nothing more is written and nothing acknowledged is lost") {
    memory_file_system files;
    auto is_disk_full = GENERATE(false, true);
    {
        memory_storage storage(files, options());
        storage.persist(entries_from(1, 3));
        files.fail_syncs = !is_disk_full;
        files.capacity_left_bytes = is_disk_full ? 50 : -1;
        CHECK_THROWS_AS(storage.persist(entries_from(4, 2)), file_error);
        files.clear_faults();
        CHECK(storage.failed());
        CHECK_THROWS_AS(storage.persist(entries_from(4, 2)), storage_failed);
    }
    std::mt19937_64 random(1);
    files.crash(random);
    CHECK(memory_storage(files, options()).take_state().entries.size() >= 3);
}

TEST_CASE("a snapshot removes the segments that it covers") {
    memory_file_system files;
    write_batches(files, {8, 8, 8, 8});
    auto before = segments_of(files).size();
    {
        memory_storage storage(files, options());
        actions todo;
        todo.save_snapshot = std::make_shared<const snapshot>(snapshot{30, 1, single_voter_set(), {1}});
        storage.persist(todo);
    }
    CHECK(segments_of(files).size() < before);
    auto state = memory_storage(files, options()).take_state();
    CHECK(state.newest_snapshot->data == byte_string{1});
    REQUIRE(state.entries.size() == 2);
    CHECK(state.entries.front().index == 31);
}

TEST_CASE("an empty directory never gets an identity that was used before") {
    memory_file_system files;
    memory_storage joined(files, options(false));
    CHECK(joined.identity().id == "control-1.0000000000000abc");
    CHECK(joined.take_state().newest_snapshot->voters.voters.empty());
    memory_storage restarted(files, options(true));  // `bootstrap` has no effect on a used directory
    CHECK(restarted.identity().id == "control-1.0000000000000abc");

    auto other = options();
    other.name = "control-2";
    CHECK_THROWS_AS(memory_storage(files, other), identity_error);
    memory_file_system empty;
    CHECK_THROWS_AS(memory_storage(empty, other), identity_error);  // not in the bootstrap set

    memory_file_system damaged;
    write_batches(damaged, {1});
    damaged.remove("d/identity");
    CHECK_THROWS_AS(memory_storage(damaged, options()), identity_error);
}

TEST_CASE("an interrupted initialization can be repeated") {
    for (int operations = 0; operations < 15; ++operations) {
        memory_file_system files;
        files.operations_until_crash = operations;
        CHECK_THROWS_AS(memory_storage(files, options(false)), simulated_crash);
        std::mt19937_64 random(static_cast<std::uint64_t>(operations));
        files.crash(random);
        CHECK_NOTHROW(memory_storage(files, options(false)));
    }
}

TEST_CASE("decoders reject arbitrary bytes with a typed error") {
    for (std::size_t kind = 0; kind < 4; ++kind) {
        DYNAMIC_SECTION(decoder_names[kind]) {
            CHECK(decode_if_valid(kind, example_bytes(kind)));
            rc::prop("arbitrary bytes", [kind] { decode_if_valid(kind, *rc::gen::arbitrary<byte_string>()); });
            rc::prop("changed, cut and extended valid bytes", [kind] {
                auto bytes = example_bytes(kind);
                auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
                bytes[position] = *rc::gen::arbitrary<std::uint8_t>();
                bytes.resize(*rc::gen::inRange<std::size_t>(position, bytes.size() + 50));
                decode_if_valid(kind, bytes);
            });
        }
    }
}

TEST_CASE("state and lock persist in files of the operating system") {
    auto directory = std::filesystem::temp_directory_path() / ("persimmongrade-" + std::to_string(getpid()));
    auto settings = options();
    settings.directory = directory.string();
    {
        posix_file_system files;
        log_storage storage(files, settings);
        auto todo = entries_from(1, 5);
        todo.hard = hard_state{3, "control-1"};
        storage.persist(todo);
        posix_file_system second;
        CHECK_THROWS_AS(log_storage(second, settings), identity_error);
    }
    posix_file_system files;
    log_storage storage(files, settings);
    auto state = storage.take_state();
    CHECK(state.entries == entries_from(1, 5).entries);
    CHECK(state.hard == hard_state{3, "control-1"});
    std::filesystem::remove_all(directory);
}

TEST_CASE("time of a sync and of appended batches", "[.measure]") {
    using steady = std::chrono::steady_clock;
    auto directory = std::filesystem::current_path() / ("measure-" + std::to_string(getpid()));
    constexpr int rounds = 300;
    auto report = [&](const std::string& label, const std::function<void()>& action) {
        std::vector<double> times;
        for (int i = 0; i < rounds; ++i) {
            auto begin = steady::now();
            action();
            times.push_back(std::chrono::duration<double, std::micro>(steady::now() - begin).count());
        }
        std::sort(times.begin(), times.end());
        std::cout << label << ": median " << times[rounds / 2] << " us, 99% " << times[rounds * 99 / 100] << " us\n";
    };
    {
        posix_file_system files;
        auto settings = options(true, 8u << 20);
        settings.directory = directory.string();
        log_storage storage(files, settings);
        int handle = ::open((directory / "plain").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
        byte_string block(512, 1);
        report("write of 512 bytes and fsync", [&] {
            CHECK(::write(handle, block.data(), block.size()) == 512);
            CHECK(::fsync(handle) == 0);
        });
        ::close(handle);
        std::uint64_t next = 1;
        for (std::size_t count : {1, 10, 100}) {
            report("persist of " + std::to_string(count) + " entries of 512 bytes", [&] {
                storage.persist(entries_from(next, count, 512));
                next += count;
            });
        }
    }
    std::filesystem::remove_all(directory);
}
