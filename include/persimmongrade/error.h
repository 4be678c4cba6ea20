// Base of all exceptions. Each module derives a type of its own for each failure, so that a caller can catch exactly
// it.

#pragma once

#include <stdexcept>
#include <string>

namespace persimmongrade {

class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// A setting is missing, unknown or out of range. `location` is "file:line".
class settings_error : public error {
public:
    settings_error(std::string location, std::string key, const std::string& reason)
        : error(location + ": " + key + ": " + reason), location(std::move(location)), key(std::move(key)) {}

    const std::string location;
    const std::string key;
};

// An address is not "IP:port" with a numeric IP.
class address_error : public error {
public:
    using error::error;
};

// The operating system refused a socket operation at start-up.
class socket_error : public error {
public:
    using error::error;
};

}  // namespace persimmongrade
