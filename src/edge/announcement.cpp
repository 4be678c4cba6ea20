#include "announcement.h"

#include <nlohmann/json.hpp>

#include <cmath>

#include "persimmongrade/address.h"

namespace persimmongrade {

namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::uint64_t max_concurrency = 100000;

std::string read_name(const nlohmann::json& object, const char* member) {
    auto found = object.find(member);
    bool valid = found != object.end() && found->is_string() && !found->get_ref<const std::string&>().empty() &&
                 found->get_ref<const std::string&>().size() <= max_name_bytes;
    if (!valid) {
        throw announcement_error(std::string(member) + ": expected a string of 1 to 128 bytes");
    }
    return found->get<std::string>();
}

std::uint64_t read_number(const nlohmann::json& object, const char* member, std::uint64_t fallback,
                          std::uint64_t most) {
    auto found = object.find(member);
    if (found == object.end()) {
        return fallback;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > most) {
        throw announcement_error(std::string(member) + ": expected a whole number of at most " + std::to_string(most));
    }
    return found->get<std::uint64_t>();
}

double read_load(const nlohmann::json& object) {
    auto found = object.find("load");
    if (found == object.end()) {
        return 0.0;
    }
    if (!found->is_number() || !std::isfinite(found->get<double>())) {
        throw announcement_error("load: expected a number");
    }
    return std::clamp(found->get<double>(), 0.0, 1.0);
}

wire::target_state read_state(const nlohmann::json& object) {
    std::string state = read_name(object, "state");
    if (state == "ready") {
        return wire::target_state::ready;
    }
    if (state == "draining") {
        return wire::target_state::draining;
    }
    throw announcement_error("state: expected ready or draining");
}

void check_address(const std::string& address) {
    try {
        ip_address::parse(address);
    } catch (const address_error& reason) {
        throw announcement_error(std::string("address: ") + reason.what());
    }
}

}  // namespace

wire::target_info_t parse_announcement(const std::string& body) {
    auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object()) {
        throw announcement_error("body: expected a JSON object");
    }
    constexpr auto most = static_cast<std::uint64_t>(INT64_MAX);
    wire::target_info_t target;
    target.id = read_name(object, "id");
    target.service = read_name(object, "service");
    target.address = read_name(object, "address");
    check_address(target.address);
    target.region = read_name(object, "region");
    target.zone = read_name(object, "zone");
    target.state = read_state(object);
    target.slots = static_cast<std::uint32_t>(read_number(object, "slots", 1, max_concurrency));
    target.connections = static_cast<std::uint32_t>(read_number(object, "connections", 1, max_concurrency));
    target.load = read_load(object);
    target.taken_at_ms = static_cast<std::int64_t>(read_number(object, "taken_at", 0, most));
    target.sequence = read_number(object, "sequence", 0, most);
    target.incarnation = read_number(object, "incarnation", 0, most);
    target.lease_ms = static_cast<std::uint32_t>(target_lease.count());
    return target;
}

http_response announcement_response(bool drain) {
    nlohmann::json body{{"lease_ms", target_lease.count()}, {"drain", drain}};
    return json_response(200, body.dump());
}

}  // namespace persimmongrade
