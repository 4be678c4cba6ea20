// Announcements of targets: JSON of POST /v1/targets.

#pragma once

#include <string>

#include "messages_generated.h"
#include "persimmongrade/error.h"
#include "persimmongrade/http.h"
#include "persimmongrade/target_pool.h"

namespace persimmongrade {

// The body is not an announcement; the message names the member.
class announcement_error : public error {
public:
    using error::error;
};

wire::target_info_t parse_announcement(const std::string& body);  // throws announcement_error
http_response announcement_response(bool drain);

}  // namespace persimmongrade
