#include "configuration_index.h"

namespace persimmongrade {

configuration_index::configuration_index(std::shared_ptr<const wire::configuration_t> configuration)
    : content(std::move(configuration)) {
    for (const auto& record : this->content->records) {
        for (const auto& service : record->services) {
            this->services.emplace(service->name, service.get());
        }
    }
    for (const auto& drain : this->content->drains) {
        this->drains.insert(drain->target);
    }
    for (const auto& entry : this->content->assignments) {
        this->assignments.emplace(std::pair(entry->service, entry->caller_region), entry.get());
    }
}

const wire::service_definition_t* configuration_index::service(const std::string& name) const {
    auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : found->second;
}

const wire::assignment_t* configuration_index::assignment(const std::string& service,
                                                          const std::string& caller_region) const {
    auto found = this->assignments.find(std::pair(service, caller_region));
    return found == this->assignments.end() ? nullptr : found->second;
}

}  // namespace persimmongrade
