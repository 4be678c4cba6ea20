#include "persimmongrade/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>

#include "persimmongrade/error.h"

namespace persimmongrade {

namespace {

std::uint16_t parse_port(const std::string& text, const std::string& whole) {
    unsigned port = 0;
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (status != std::errc() || end != text.data() + text.size() || port == 0 || port > 65535) {
        throw address_error("'" + whole + "' has no port between 1 and 65535");
    }
    return static_cast<std::uint16_t>(port);
}

}  // namespace

ip_address ip_address::parse(const std::string& text) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw address_error("'" + text + "' is not of the form IP:port");
    }
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    in6_addr scratch{};
    int family = ip.find(':') == std::string::npos ? AF_INET : AF_INET6;
    if (inet_pton(family, ip.c_str(), &scratch) != 1) {
        throw address_error("'" + text + "' has no numeric IP address");
    }
    return {ip, parse_port(text.substr(colon + 1), text)};
}

std::string ip_address::to_string() const {
    bool is_ipv6 = this->ip.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + this->ip + "]" : this->ip) + ":" + std::to_string(this->port);
}

std::string with_port(const std::string& address, std::uint16_t port) {
    ip_address moved = ip_address::parse(address);
    moved.port = port;
    return moved.to_string();
}

socklen_t ip_address::to_sockaddr(sockaddr_storage& storage) const {
    std::memset(&storage, 0, sizeof(storage));
    if (this->ip.find(':') == std::string::npos) {
        auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
        v4->sin_family = AF_INET;
        v4->sin_port = htons(this->port);
        inet_pton(AF_INET, this->ip.c_str(), &v4->sin_addr);
        return sizeof(sockaddr_in);
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(this->port);
    inet_pton(AF_INET6, this->ip.c_str(), &v6->sin6_addr);
    return sizeof(sockaddr_in6);
}

}  // namespace persimmongrade
