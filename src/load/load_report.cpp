// Contents: summary; text; JSON; HTML with inline SVG plots.

#include "persimmongrade/load_report.h"
#include "quantile.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace persimmongrade {

namespace {

latency_summary summarize_latency(std::vector<double> values) {
    latency_summary summary;
    summary.count = values.size();
    if (values.empty()) {
        return summary;
    }
    std::sort(values.begin(), values.end());
    summary.p50_ms = quantile(values, 0.50);
    summary.p99_ms = quantile(values, 0.99);
    summary.max_ms = values.back();
    return summary;
}

std::vector<resource_summary> summarize_resources(const std::vector<resource_sample>& samples) {
    std::map<std::pair<std::string, std::string>, resource_summary> by_subject;
    for (const resource_sample& sample : samples) {
        resource_summary& summary = by_subject[{sample.kind, sample.subject}];
        double headroom = sample.limit > 0 ? 1.0 - sample.used / sample.limit : 0;
        bool first = summary.subject.empty();
        summary.kind = sample.kind;
        summary.subject = sample.subject;
        summary.limit = sample.limit;
        summary.peak_used = std::max(summary.peak_used, sample.used);
        summary.least_headroom = first ? headroom : std::min(summary.least_headroom, headroom);
    }
    std::vector<resource_summary> summaries;
    summaries.reserve(by_subject.size());
    for (auto& [subject, summary] : by_subject) {
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

std::vector<second_summary> summarize_seconds(const std::vector<call_record>& records) {
    std::map<std::int64_t, std::pair<second_summary, std::vector<double>>> by_second;
    for (const call_record& record : records) {
        auto& [summary, latencies] = by_second[record.intended_at_ms / 1000];
        if (record.outcome == call_outcome::ok) {
            ++summary.ok;
            latencies.push_back(record.latency_ms);
        } else {
            ++summary.refused;
        }
    }
    std::vector<second_summary> seconds;
    for (auto& [second, entry] : by_second) {
        entry.first.second = second;
        entry.first.latency = summarize_latency(std::move(entry.second));
        seconds.push_back(entry.first);
    }
    return seconds;
}

}  // namespace

load_summary summarize(const std::vector<call_record>& records, const std::vector<resource_sample>& samples,
                       const std::vector<drain_sample>& drains, double duration_s) {
    load_summary summary;
    summary.duration_s = duration_s;
    std::map<std::string, std::vector<double>> latencies;
    for (const call_record& record : records) {
        ++summary.outcomes[to_string(record.outcome)];
        summary.resends += record.sends - 1;
        if (record.outcome == call_outcome::ok) {
            latencies[record.service].push_back(record.latency_ms);
        } else {
            ++summary.errors[record.error.empty() ? "none" : record.error];
        }
    }
    for (auto& [service, values] : latencies) {
        summary.latency_by_service[service] = summarize_latency(std::move(values));
    }
    summary.seconds = summarize_seconds(records);
    summary.resources = summarize_resources(samples);
    summary.resource_samples = samples;
    summary.drains = drains;
    return summary;
}

// ---- Text ----

std::string render_text(const load_summary& summary, const std::vector<violation>& violations) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << "duration " << summary.duration_s << " s, resends " << summary.resends
        << "\n\nlatency as the caller sees it\n";
    for (const auto& [service, latency] : summary.latency_by_service) {
        out << "  " << std::left << std::setw(12) << service << " count " << latency.count << "  p50 " << latency.p50_ms
            << " ms  p99 " << latency.p99_ms << " ms  max " << latency.max_ms << " ms\n";
    }
    out << "\nheadroom (least over the run)\n";
    for (const resource_summary& resource : summary.resources) {
        out << "  " << std::left << std::setw(7) << resource.kind << std::setw(18) << resource.subject << " limit "
            << resource.limit << "  peak " << resource.peak_used << "  headroom " << resource.least_headroom * 100
            << "%\n";
    }
    out << "\ndrain time\n";
    for (const drain_sample& drain : summary.drains) {
        out << "  " << std::left << std::setw(18) << drain.target << " ";
        out << (drain.drain_time_ms < 0 ? "not idle yet" : std::to_string(drain.drain_time_ms) + " ms") << "\n";
    }
    out << "\noutcomes\n";
    for (const auto& [outcome, count] : summary.outcomes) {
        out << "  " << std::left << std::setw(26) << outcome << " " << count << "\n";
    }
    for (const auto& [error, count] : summary.errors) {
        out << "    " << std::left << std::setw(24) << error << " " << count << "\n";
    }
    out << "\nviolations " << violations.size() << "\n";
    for (const violation& found : violations) {
        out << "  " << to_string(found.kind) << " service=" << found.service << " id=" << found.id
            << " runs=" << found.runs << "\n";
    }
    return out.str();
}

// ---- JSON ----

namespace {

nlohmann::json to_json(const latency_summary& latency) {
    return {
        {"count", latency.count}, {"p50_ms", latency.p50_ms}, {"p99_ms", latency.p99_ms}, {"max_ms", latency.max_ms}};
}

}  // namespace

std::string render_json(const load_summary& summary, const std::vector<violation>& violations) {
    nlohmann::json root;
    root["duration_s"] = summary.duration_s;
    root["resends"] = summary.resends;
    root["outcomes"] = summary.outcomes;
    root["errors"] = summary.errors;
    root["latency"] = nlohmann::json::object();
    for (const auto& [service, latency] : summary.latency_by_service) {
        root["latency"][service] = to_json(latency);
    }
    root["seconds"] = nlohmann::json::array();
    for (const second_summary& second : summary.seconds) {
        nlohmann::json entry = to_json(second.latency);
        entry["second"] = second.second;
        entry["ok"] = second.ok;
        entry["refused"] = second.refused;
        root["seconds"].push_back(entry);
    }
    root["headroom"] = nlohmann::json::array();
    for (const resource_summary& resource : summary.resources) {
        root["headroom"].push_back({{"kind", resource.kind},
                                    {"subject", resource.subject},
                                    {"limit", resource.limit},
                                    {"peak_used", resource.peak_used},
                                    {"least_headroom", resource.least_headroom}});
    }
    root["drains"] = nlohmann::json::array();
    for (const drain_sample& drain : summary.drains) {
        root["drains"].push_back({{"target", drain.target}, {"drain_time_ms", drain.drain_time_ms}});
    }
    root["violations"] = nlohmann::json::array();
    for (const violation& found : violations) {
        root["violations"].push_back(
            {{"kind", to_string(found.kind)}, {"service", found.service}, {"id", found.id}, {"runs", found.runs}});
    }
    return root.dump(2) + "\n";
}

// ---- HTML ----

namespace {

constexpr double plot_width = 900;  // SVG units
constexpr double plot_height = 180;

struct plot_point {
    double x = 0;
    double y = 0;
};

struct plot_series {
    std::string label;
    std::string color;
    std::vector<plot_point> points;
};

std::string escape_html(const std::string& text) {
    std::string escaped;
    for (char c : text) {
        switch (c) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string render_plot(const std::string& title, const std::vector<plot_series>& series) {
    double most_x = 1;
    double most_y = 1e-9;
    for (const plot_series& line : series) {
        for (const plot_point& point : line.points) {
            most_x = std::max(most_x, point.x);
            most_y = std::max(most_y, point.y);
        }
    }
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "<h2>" << escape_html(title) << "</h2>\n<svg viewBox=\"0 0 " << plot_width << " " << plot_height + 20
        << "\" width=\"" << plot_width << "\">\n<rect width=\"" << plot_width << "\" height=\"" << plot_height
        << "\" fill=\"#f6f6f6\"/>\n<text x=\"4\" y=\"14\" font-size=\"12\">" << most_y << "</text>\n";
    for (const plot_series& line : series) {
        out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << line.color << "\" points=\"";
        for (const plot_point& point : line.points) {
            out << point.x / most_x * plot_width << "," << plot_height - point.y / most_y * plot_height << " ";
        }
        out << "\"/>\n";
    }
    out << "</svg>\n<p>";
    for (const plot_series& line : series) {
        out << "<span style=\"color:" << line.color << "\">&#9632;</span> " << escape_html(line.label) << " ";
    }
    out << "</p>\n";
    return out.str();
}

std::string render_latency_plots(const load_summary& summary) {
    plot_series p50{"p50 (ms)", "#1f77b4", {}};
    plot_series p99{"p99 (ms)", "#d62728", {}};
    plot_series ok{"answered per second", "#2ca02c", {}};
    plot_series refused{"refused per second", "#ff7f0e", {}};
    for (const second_summary& second : summary.seconds) {
        auto x = static_cast<double>(second.second);
        p50.points.push_back({x, second.latency.p50_ms});
        p99.points.push_back({x, second.latency.p99_ms});
        ok.points.push_back({x, static_cast<double>(second.ok)});
        refused.points.push_back({x, static_cast<double>(second.refused)});
    }
    return render_plot("Latency over time", {p50, p99}) + render_plot("Outcomes over time", {ok, refused});
}

std::string render_resource_plots(const load_summary& summary) {
    std::string plots;
    for (const resource_summary& resource : summary.resources) {
        plot_series used{"used", "#1f77b4", {}};
        plot_series limit{"limit", "#d62728", {}};
        for (const resource_sample& sample : summary.resource_samples) {
            if (sample.kind == resource.kind && sample.subject == resource.subject) {
                double x = static_cast<double>(sample.at_ms) / 1000.0;
                used.points.push_back({x, sample.used});
                limit.points.push_back({x, sample.limit});
            }
        }
        plots += render_plot(resource.kind + " " + resource.subject, {used, limit});
    }
    return plots;
}

}  // namespace

std::string render_html(const load_summary& summary, const std::vector<violation>& violations) {
    return "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>persimmon-load report</title></head>\n"
           "<body style=\"font-family:sans-serif\">\n<h1>persimmon-load report</h1>\n<pre>" +
           escape_html(render_text(summary, violations)) + "</pre>\n" + render_latency_plots(summary) +
           render_resource_plots(summary) + "</body></html>\n";
}

}  // namespace persimmongrade
