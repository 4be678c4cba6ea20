#include "persimmongrade/metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <ctime>

namespace persimmongrade {

double used_processor_seconds() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

metric_registry::metric_registry()
    : registry(std::make_shared<prometheus::Registry>()),
      processor_seconds(this->counter("process_cpu_seconds_total", "User and system processor time in seconds.")) {}

prometheus::Counter& metric_registry::counter(const std::string& name, const std::string& help, const labels& labels) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(*this->registry).Add(labels);
}

prometheus::Gauge& metric_registry::gauge(const std::string& name, const std::string& help, const labels& labels) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(*this->registry).Add(labels);
}

prometheus::Histogram& metric_registry::histogram(const std::string& name, const std::string& help,
                                                  const prometheus::Histogram::BucketBoundaries& bounds,
                                                  const labels& labels) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(*this->registry).Add(labels, bounds);
}

std::string metric_registry::text() const {
    this->processor_seconds.Increment(std::max(0.0, used_processor_seconds() - this->processor_seconds.Value()));
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

}  // namespace persimmongrade
