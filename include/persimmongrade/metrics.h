// Metrics of one process, exported as Prometheus text by the HTTP server at /metrics. Every registry includes the
// processor time of the process, process_cpu_seconds_total.
//
//     metric_registry metrics;
//     metrics.counter("persimmongrade_refusals_total", "Refused requests.", {{"reason", "no_target"}}).Increment();

#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace persimmongrade {

double used_processor_seconds();  // user and system time of all threads of the process

class metric_registry {
public:
    using labels = std::map<std::string, std::string>;

    metric_registry();

    prometheus::Counter& counter(const std::string& name, const std::string& help, const labels& labels = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const labels& labels = {});
    prometheus::Histogram& histogram(const std::string& name, const std::string& help,
                                     const prometheus::Histogram::BucketBoundaries& bounds, const labels& labels = {});

    std::string text() const;  // Prometheus text exposition format

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Counter& processor_seconds;  // brought up to date by text()
};

}  // namespace persimmongrade
