// Guards against refusals without a type, an outcome or a counter, and against a second answer to one request.

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <nlohmann/json.hpp>

#include "../../src/edge/edge_context.h"

using namespace persimmongrade;

namespace {

class mock_exchange : public http_exchange {
public:
    MAKE_MOCK1(respond, void(http_response), override);
    MAKE_CONST_MOCK0(closed, bool(), override);
    MAKE_MOCK1(on_close, void(std::function<void()>), override);
};

wire::edge_settings_t one_edge() {
    wire::edge_settings_t settings;
    settings.id = "edge-1";
    settings.region = "north";
    settings.edges.push_back(std::make_unique<wire::peer_settings_t>());
    settings.edges.back()->id = "edge-1";
    return settings;
}

bool is_typed(const http_response& answer, wire::refusal_reason reason) {
    auto body = nlohmann::json::parse(answer.body, nullptr, false);
    return body.is_object() && answer.status >= 400 && body["error"] == wire::EnumNamerefusal_reason(reason) &&
           body["outcome"] == "not_run" && body["retry_after_ms"] == 50 && answer.header("retry-after") == "1";
}

}  // namespace

TEST_CASE("each refusal is answered once, with its type, and counted") {
    event_loop loop;
    metric_registry metrics;
    wire::edge_settings_t settings = one_edge();
    edge_context edge(loop, settings, metrics, 1, 1);
    for (wire::refusal_reason reason : wire::EnumValuesrefusal_reason()) {
        std::string name = wire::EnumNamerefusal_reason(reason);
        INFO(name);
        mock_exchange exchange;
        REQUIRE_CALL(exchange, respond(trompeloeil::_)).WITH(is_typed(_1, reason)).TIMES(1);
        edge.refuse(exchange, {reason, wire::outcome::not_run, "test", ms(50)});
        CHECK(metrics.text().find("persimmongrade_refusals_total{reason=\"" + name + "\"} 1\n") != std::string::npos);
    }
}
