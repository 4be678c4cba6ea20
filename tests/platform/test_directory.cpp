// Tests the answers of the directory, which tells clients where to connect.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "control_api.h"

using namespace persimmongrade;
using namespace persimmongrade::platform;

namespace {

class recorded_exchange : public http_exchange {
public:
    http_response answer;

    void respond(http_response response) override { this->answer = std::move(response); }
    bool closed() const override { return false; }
    void on_close(std::function<void()>) override {}
};

http_response ask(const std::vector<std::string>& addresses, const std::string& path = "/api/resolution") {
    auto exchange = std::make_shared<recorded_exchange>();
    http_request request;
    request.method = "GET";
    request.path = path;
    answer_directory(addresses, request, exchange);
    return exchange->answer;
}

}  // namespace

TEST_CASE("the directory lists at most 64 addresses") {
    auto answer = ask({"10.0.0.1:80", "10.0.0.2:80"});
    CHECK(answer.status == 200);
    CHECK(nlohmann::json::parse(answer.body)["addresses"] == nlohmann::json({"10.0.0.1:80", "10.0.0.2:80"}));
    auto many = ask(std::vector<std::string>(100, "10.0.0.1:80"));
    CHECK(nlohmann::json::parse(many.body)["addresses"].size() == 64);
}

TEST_CASE("error answers are valid JSON, also when the message needs escaping") {
    auto none = ask({});
    CHECK(none.status == 503);
    CHECK(nlohmann::json::parse(none.body)["error"] == "no_gateway");
    CHECK(nlohmann::json::parse(none.body)["message"] == "no gateway is known yet");
    auto unknown = ask({}, "/a \"quoted\" path");
    CHECK(unknown.status == 404);
    CHECK(nlohmann::json::parse(unknown.body)["message"] == "/a \"quoted\" path");
}
