#include "server_state.h"

#include <algorithm>
#include <utility>

namespace persimmongrade {

namespace {

constexpr duration watch_timeout = ms(25000);  // after this, a watch is answered without changes
constexpr std::size_t max_watches = 1000;

template <typename Items>
nlohmann::json to_json_list(const Items& items) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

}  // namespace

std::optional<std::uint64_t> parse_number(const std::optional<std::string>& text) {
    if (!text || text->empty() || text->size() > 18 || text->find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoull(*text);
}

nlohmann::json control_server::impl::record_to_json(const wire::steering_record_t& record) const {
    nlohmann::json result = to_json(record);
    std::uint64_t revision = this->store.record_revision(record.name);
    result["revision"] = revision;
    result["not_in_force"] = this->distributor.not_in_force(this->loop.now(), revision);
    return result;
}

void control_server::impl::list_records(const exchange_pointer& exchange) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& record : this->store.configuration().records) {
        list.push_back(this->record_to_json(*record));
    }
    exchange->respond(json_answer(200, {{"revision", this->store.revision()}, {"records", list}}));
}

void control_server::impl::get_record(const std::string& name, const exchange_pointer& exchange) {
    const wire::steering_record_t* record = this->store.find_record(name);
    if (record == nullptr) {
        this->refuse(exchange, operator_error::not_found, "there is no record '" + name + "'");
        return;
    }
    exchange->respond(json_answer(200, this->record_to_json(*record)));
}

nlohmann::json control_server::impl::member_list() const {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& voter : this->log.voters().voters) {
        list.push_back({{"id", voter->id}, {"address", voter->address}, {"voting", voter->voting}});
    }
    return list;
}

nlohmann::json control_server::impl::assignment_list() const {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& assignment : this->store.configuration().assignments) {
        list.push_back(to_json(*assignment));
    }
    return list;
}

// The answer says whether revision N of the query `revision=N` is in force; the newest revision by default.
void control_server::impl::get_status(const http_request& request, const exchange_pointer& exchange) {
    time_point now = this->loop.now();
    std::uint64_t revision = parse_number(request.query_value("revision")).value_or(this->store.revision());
    auto lagging_edges = this->distributor.not_in_force(now, revision);
    bool is_in_force = lagging_edges.empty() && revision <= this->store.revision();
    nlohmann::json status = {{"leader", this->name_of(this->log.leader_id())},
                             {"members", this->member_list()},
                             {"term", this->log.term()},
                             {"revision", this->store.revision()},
                             {"asked_revision", revision},
                             {"in_force", is_in_force},
                             {"not_in_force", lagging_edges},
                             {"edges", to_json_list(this->distributor.edges(now))},
                             {"drains", to_json_list(this->distributor.drains(now))},
                             {"shifts", this->shift_states()},
                             {"assignments", this->assignment_list()}};
    status["resources"] = nlohmann::json::array();
    if (this->granter.leading()) {
        status["resources"] = to_json_list(this->granter.rate_uses(now));
    }
    exchange->respond(json_answer(200, status));
}

// Answers when the revision is above `after`, or after `watch_timeout` with the unchanged revision.
void control_server::impl::get_watch(const http_request& request, const exchange_pointer& exchange) {
    auto after = parse_number(request.query_value("after"));
    if (!after) {
        this->refuse(exchange, operator_error::bad_request, "the query needs after=REVISION");
        return;
    }
    if (this->watches.size() >= max_watches) {
        this->refuse(exchange, operator_error::unavailable, "too many watches are open");
        return;
    }
    this->watches.push_back({*after, exchange, this->loop.now() + watch_timeout});
    this->answer_watches();
}

void control_server::impl::answer_watches() {
    std::erase_if(this->watches, [&](const watch& waiting) {
        bool has_changed = this->store.revision() > waiting.after;
        if (has_changed) {
            waiting.exchange->respond(json_answer(200, to_json(this->store.changes_since(waiting.after))));
        }
        return has_changed;
    });
}

void control_server::impl::expire_watches(time_point now) {
    std::erase_if(this->watches, [&](const watch& waiting) {
        bool has_expired = now >= waiting.expires_at;
        if (has_expired) {
            waiting.exchange->respond(json_answer(200, {{"revision", this->store.revision()}, {"full", false}}));
        }
        return has_expired || waiting.exchange->closed();
    });
}

}  // namespace persimmongrade
