// Guards against an installation that lacks a header, a library or a dependency: it embeds an edge and reads a record.

#include <iostream>
#include <memory>

#include <persimmongrade/control_server.h>
#include <persimmongrade/edge_server.h>
#include <persimmongrade/record_parser.h>

int main() {
    using namespace persimmongrade;
    event_loop loop;
    metric_registry metrics;
    wire::edge_settings_t settings;
    settings.id = "edge-1";
    settings.http_address = "127.0.18.1:8000";
    settings.peer_address = "127.0.18.1:7000";
    settings.edges.push_back(std::make_unique<wire::peer_settings_t>());
    settings.edges.front()->id = settings.id;
    settings.edges.front()->address = settings.peer_address;
    edge_server server(loop, settings, metrics);
    auto record = parse_record("schema_version: 2\nname: r\nversion: 7\nservices: []\nregions: []\n");
    std::cout << "version " << record.version << ", ready " << server.ready() << "\n";
}
