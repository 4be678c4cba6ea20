// Structured log lines through glog: msg="..." key=value ...
//
//     log_info("configuration applied", field("revision", 7), field("edge", id));

#pragma once

#include <glog/logging.h>

#include <sstream>
#include <string>
#include <string_view>

namespace persimmongrade {

template <typename T>
struct log_field {
    std::string_view key;
    const T& value;
};

template <typename T>
log_field<T> field(std::string_view key, const T& value) {
    return {key, value};
}

// Starts glog on standard error under the program's name.
void start_logging(const char* program);

// Quotes a value when it contains a space, a quote, '=' or a control character.
std::string log_quote(std::string_view text);

template <typename T>
std::string log_value(const T& value) {
    std::ostringstream out;
    out << value;
    return log_quote(out.str());
}

template <typename... Fields>
std::string log_line(std::string_view message, const Fields&... fields) {
    std::string line = "msg=" + log_quote(message);
    ((line += " " + std::string(fields.key) + "=" + log_value(fields.value)), ...);
    return line;
}

template <typename... Fields>
void log_info(std::string_view message, const Fields&... fields) {
    LOG(INFO) << log_line(message, fields...);
}

template <typename... Fields>
void log_warning(std::string_view message, const Fields&... fields) {
    LOG(WARNING) << log_line(message, fields...);
}

template <typename... Fields>
void log_error(std::string_view message, const Fields&... fields) {
    LOG(ERROR) << log_line(message, fields...);
}

}  // namespace persimmongrade
