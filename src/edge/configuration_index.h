// Look-up of an applied configuration by name. Immutable.

#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "record_generated.h"

namespace persimmongrade {

class configuration_index {
public:
    explicit configuration_index(std::shared_ptr<const wire::configuration_t> configuration);

    const wire::configuration_t& configuration() const noexcept { return *this->content; }
    const wire::service_definition_t* service(const std::string& name) const;  // nullptr when no record declares it
    bool drained(const std::string& target) const { return this->drains.contains(target); }
    const std::set<std::string>& drained_targets() const noexcept { return this->drains; }
    // nullptr when there is none.
    const wire::assignment_t* assignment(const std::string& service, const std::string& caller_region) const;

private:
    std::shared_ptr<const wire::configuration_t> content;
    std::map<std::string, const wire::service_definition_t*> services;
    std::set<std::string> drains;
    std::map<std::pair<std::string, std::string>, const wire::assignment_t*> assignments;
};

}  // namespace persimmongrade
