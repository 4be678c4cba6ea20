#include "persimmongrade/log.h"

#include <algorithm>
#include <cctype>
#include <iomanip>

namespace persimmongrade {

void start_logging(const char* program) {
    FLAGS_logtostderr = true;
    if (google::IsGoogleLoggingInitialized()) {
        return;  // a second call would end the process
    }
    google::InitGoogleLogging(program);
}

std::string log_quote(std::string_view text) {
    auto needs_quotes = [](unsigned char c) { return std::isspace(c) || std::iscntrl(c) || c == '"' || c == '='; };
    if (!text.empty() && std::none_of(text.begin(), text.end(), needs_quotes)) {
        return std::string(text);
    }
    std::string quoted = "\"";
    for (unsigned char c : text) {
        if (c == '"' || c == '\\') {
            quoted += '\\';
        }
        quoted += std::iscntrl(c) ? ' ' : static_cast<char>(c);
    }
    return quoted + "\"";
}

}  // namespace persimmongrade
