#include "persimmongrade/metrics.h"

#include <prometheus/text_serializer.h>

namespace persimmongrade {

metric_registry::metric_registry() : registry(std::make_shared<prometheus::Registry>()) {}

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
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

}  // namespace persimmongrade
