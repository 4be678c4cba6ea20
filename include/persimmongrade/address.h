// "IP:port" addresses. Names are never resolved: processes talk by IP numbers.

#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <compare>
#include <cstdint>
#include <string>

namespace persimmongrade {

struct ip_address {
    std::string ip;          // numeric IPv4, or IPv6 without brackets
    std::uint16_t port = 0;  // 1 to 65535

    // Parses "127.0.0.1:80" or "[::1]:80". Throws address_error.
    static ip_address parse(const std::string& text);
    std::string to_string() const;
    socklen_t to_sockaddr(sockaddr_storage& storage) const;

    auto operator<=>(const ip_address&) const = default;
};

// The address with another port: processes of one deployment use the same ports on all hosts. Throws address_error.
std::string with_port(const std::string& address, std::uint16_t port);

}  // namespace persimmongrade
