// Guards the command line that all programs share: exit codes, which stream carries what, and settings files.

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "../support/child_process.h"
#include "persimmongrade/command_line.h"

using namespace persimmongrade;

namespace {

struct folder {
    std::filesystem::path path;

    folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "command-line-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        this->path = pattern;
    }
    ~folder() { std::filesystem::remove_all(this->path); }

    std::string write(const std::string& name, const std::string& content) const {
        std::ofstream(this->path / name) << content;
        return this->path / name;
    }
};

// Redirects a standard stream into a text while it lives.
struct captured {
    std::ostream& stream;
    std::ostringstream text;
    std::streambuf* original = this->stream.rdbuf(this->text.rdbuf());

    explicit captured(std::ostream& stream) : stream(stream) {}
    ~captured() { this->stream.rdbuf(this->original); }
};

struct outcome {
    int code = -1;
    std::string output;
    std::string errors;
};

// A program with one option of each kind. Its size must not be 13; it fails at 14.
outcome run_example(std::vector<std::string> arguments, std::string& ran) {
    namespace po = boost::program_options;
    program_definition program{.name = "example", .usage = "example: a program", .takes_words = true};
    auto add = program.options.add_options();
    add("size", po::value<std::uint32_t>()->default_value(1), "a number");
    add("peer", po::value<std::vector<std::string>>(), "repeatable");
    add("quiet", "a switch");
    program.prepare = [&ran](const po::variables_map& values) -> program_definition::runner {
        auto size = values["size"].as<std::uint32_t>();
        if (size == 13) {
            throw error("size must not be 13");
        }
        return [&ran, values, size] {
            if (size == 14) {
                throw error("14 failed");
            }
            ran = std::to_string(size) + (values.contains("quiet") ? " quiet" : "");
            for (const std::string& peer :
                 values.contains("peer") ? values["peer"].as<std::vector<std::string>>() : std::vector<std::string>()) {
                ran += " " + peer;
            }
            for (const std::string& word : words(values)) {
                ran += " " + word;
            }
            return 7;
        };
    };
    arguments.insert(arguments.begin(), "example");
    std::vector<char*> pointers;
    for (std::string& argument : arguments) {
        pointers.push_back(argument.data());
    }
    captured output(std::cout);
    captured errors(std::cerr);
    int code = run_program(static_cast<int>(pointers.size()), pointers.data(), program);
    return {code, output.text.str(), errors.text.str()};
}

}  // namespace

TEST_CASE("results go to standard output and errors to standard error") {
    std::string ran;
    outcome help = run_example({"--help", "--config", "/nonexistent"}, ran);
    CHECK(help.code == 0);
    CHECK(help.output.starts_with("example: a program\n"));
    CHECK(help.output.find("--check-config") != std::string::npos);
    CHECK(help.errors.empty());
    CHECK(run_example({"--version"}, ran).output == "example " PERSIMMONGRADE_VERSION "\n");
    outcome checked = run_example({"--check-config"}, ran);
    CHECK(checked.code == 0);
    CHECK(checked.output == "the settings are valid\n");
    for (const std::vector<std::string>& bad :
         {std::vector<std::string>{"--unknown"}, {"--size", "x"}, {"--size", "13"}, {"--size"}, {"--config"}}) {
        outcome refused = run_example(bad, ran);
        CHECK(refused.code == 2);
        CHECK(refused.output.empty());
        CHECK(refused.errors.starts_with("example: "));
    }
    CHECK(ran.empty());
    outcome failed = run_example({"--size", "14"}, ran);
    CHECK(failed.code == 1);
    CHECK(failed.errors == "example: 14 failed\n");
    CHECK(run_example({"a", "--size", "2", "b"}, ran).code == 7);
    CHECK(ran == "2 a b");
}

TEST_CASE("a settings file gives options that the command line overrides") {
    folder files;
    std::string ran;
    std::string file = files.write("good.yaml", "size: 3\npeer: [x, y]\nquiet: true\n");
    CHECK(run_example({"--config", file}, ran).code == 7);
    CHECK(ran == "3 quiet x y");
    CHECK(run_example({"--config", file, "--size", "4", "--peer", "z"}, ran).code == 7);
    CHECK(ran == "4 quiet z");
    auto refused = [&](const std::string& content) {
        outcome result = run_example({"--check-config", "--config", files.write("bad.yaml", content)}, ran);
        CHECK(result.code == 2);
        return result.errors;
    };
    CHECK(refused("size: 3\nsise: 4\n").find("bad.yaml:2: sise: unknown key") != std::string::npos);
    CHECK(refused("quiet: false\nsize: 3 ms\n").find("bad.yaml:2: size: ") != std::string::npos);
    CHECK(refused("size: [1\n").find("bad.yaml:") != std::string::npos);
    CHECK(refused("help: true\n").find("unknown key") != std::string::npos);
    CHECK(run_example({"--config", "/nonexistent"}, ran).code == 2);
}

TEST_CASE("every program has the same exit codes") {
    folder files;
    std::string log = files.path / "log";
    auto run = [&](const std::string& program, const std::vector<std::string>& arguments) {
        std::filesystem::remove(log);
        return child_process(program, arguments, log).wait(std::chrono::seconds(20));
    };
    auto logged = [&] {
        std::ifstream in(log);
        return std::string(std::istreambuf_iterator<char>(in), {});
    };
    std::string common = "region: north\nzone: z\nhttp_address: \"127.9.9.9:1\"\n";
    std::string cluster = common + "cluster: test\npeer_address: \"127.9.9.9:2\"\n" +
                          "control: [{id: c, address: \"127.9.9.9:2\", region: north, zone: z}]\n" +
                          "edges: [{id: e, address: \"127.9.9.9:3\", region: north, zone: z}]\n";
    struct example {
        std::string program;
        std::string settings;
    };
    for (const example& one : {example{"persimmongrade-edge", "id: e\n" + cluster},
                               {"persimmongrade-control", "id: c\n" + cluster + "data_directory: /nonexistent/data\n"},
                               {"persimmon-target", "id: t\nservice: s\nedges: [\"127.9.9.9:1\"]\n" + common},
                               {"persimmon-load", "edge: \"127.9.9.9:1\"\nstream: \"s:1:lookup\"\n"},
                               {"persimmonctl", "control: [\"127.9.9.9:1\"]\ntimeout_ms: 300\n"}}) {
        INFO(one.program);
        CHECK(run(one.program, {"--help"}) == 0);
        CHECK(run(one.program, {"--version"}) == 0);
        CHECK(logged() == one.program + " " PERSIMMONGRADE_VERSION "\n");
        CHECK(run(one.program, {"--no-such-option"}) == 2);
        CHECK(run(one.program, {}) == 2);
        std::string good = files.write("good.yaml", one.settings);
        CHECK(run(one.program, {"--check-config", "--config", good}) == 0);
        CHECK(logged() == "the settings are valid\n");
        CHECK(run(one.program, {"--check-config", "--config", files.write("bad.yaml", one.settings + "x: 1\n")}) == 2);
        CHECK(logged().starts_with(one.program + ": "));
        CHECK(run(one.program, {"--config", files.path / "absent.yaml"}) == 2);
    }
    // The data folder cannot be made.
    CHECK(run("persimmongrade-control",
              {"--config", files.write("c.yaml", "id: c\n" + cluster + "data_directory: /dev/null/x\n")}) == 1);
    CHECK(run("persimmonctl",
              {"--config", files.write("ctl.yaml", "control: [\"127.9.9.9:1\"]\ntimeout_ms: 300\n"), "list"}) == 4);
}
