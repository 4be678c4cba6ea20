// Contents: frame codec; connection (one TCP connection); peer_transport::impl (peers, reconnects, accepting).

#include "persimmongrade/peer_transport.h"

#include <h2o.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <map>
#include <set>

#include "persimmongrade/listener.h"
#include "persimmongrade/log.h"
#include "persimmongrade/retained.h"

namespace persimmongrade {

namespace {

constexpr duration first_reconnect_delay = ms(20);

template <typename Number>
void append_little_endian(std::string& out, Number value) {
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        out += static_cast<char>((value >> (8 * i)) & 0xff);
    }
}

template <typename Number>
Number read_little_endian(const char* bytes) {
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value |= static_cast<Number>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return value;
}

}  // namespace

// ---- Frame codec ----

std::string encode_frame(const wire::envelope_t& envelope) {
    flatbuffers::FlatBufferBuilder builder(1024);
    builder.Finish(wire::envelope::Pack(builder, &envelope));
    std::string frame;
    frame.reserve(frame_header_bytes + builder.GetSize());
    append_little_endian(frame, static_cast<std::uint32_t>(builder.GetSize()));
    append_little_endian(frame, static_cast<std::uint64_t>(XXH64(builder.GetBufferPointer(), builder.GetSize(), 0)));
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

decoded_frame decode_frame(const char* bytes, std::size_t size) {
    if (size < frame_header_bytes) {
        return {};
    }
    auto length = read_little_endian<std::uint32_t>(bytes);
    if (length > max_frame_bytes) {
        return {frame_status::corrupt, 0, nullptr};
    }
    if (size < frame_header_bytes + length) {
        return {};
    }
    // FlatBuffers reads scalars at their natural alignment, so the payload is copied out of the stream.
    std::vector<std::uint64_t> aligned((length + 7) / 8);
    std::memcpy(aligned.data(), bytes + frame_header_bytes, length);
    const auto* payload = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(payload, length);
    bool valid = XXH64(payload, length, 0) == read_little_endian<std::uint64_t>(bytes + 4) &&
                 verifier.VerifyBuffer<wire::envelope>(nullptr);
    if (!valid) {
        return {frame_status::corrupt, 0, nullptr};
    }
    auto envelope = std::unique_ptr<wire::envelope_t>(flatbuffers::GetRoot<wire::envelope>(payload)->UnPack());
    return {frame_status::complete, frame_header_bytes + length, std::move(envelope)};
}

// ---- Connection ----

namespace {

class connection {
public:
    h2o_socket_t* socket = nullptr;
    std::uint64_t number;           // unique in this process, from 1 on
    duration unacknowledged;        // time after which the peer counts as dead
    std::string peer_id;            // of an accepted connection: known after its first frame
    std::uint64_t incarnation = 0;  // of the peer, as in its last frame; 0: not stated
    bool established = false;
    received_traffic received;
    std::function<void(connection&)> on_readable;
    std::function<void(connection&)> on_closed;
    std::function<void()> on_established;  // of an outgoing connection

    connection(h2o_socket_t* socket, std::uint64_t number, duration unacknowledged)
        : socket(socket), number(number), unacknowledged(unacknowledged) {
        socket->data = this;
    }

    ~connection() {
        if (this->socket != nullptr) {
            h2o_socket_close(this->socket);
        }
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void start_reading() {
        this->established = true;
        set_no_delay(this->socket);
        keep_unsent_bytes_in_process(this->socket);
        set_liveness(this->socket, this->unacknowledged);
        h2o_socket_read_start(this->socket, [](h2o_socket_t* sock, const char* failure) {
            auto& self = *static_cast<connection*>(sock->data);
            if (failure != nullptr) {
                self.on_closed(self);
                return;
            }
            self.received.bytes += sock->bytes_read;  // by this event alone
            self.received.last_at = steady_clock_ms::now();
            self.on_readable(self);
        });
    }

    std::size_t queue_size() const noexcept { return this->queued_bytes; }

    bool enqueue(std::string frame) {
        if (this->queued_bytes + frame.size() > max_send_queue_bytes) {
            return false;
        }
        this->queued_bytes += frame.size();
        this->queue.push_back(std::move(frame));
        if (this->established) {
            this->write_next();
        }
        return true;
    }

    void write_next() {
        if (this->queue.empty() || !this->in_flight.empty() || h2o_socket_is_writing(this->socket)) {
            return;
        }
        this->in_flight.swap(this->queue);
        std::vector<h2o_iovec_t> buffers;
        buffers.reserve(this->in_flight.size());
        for (std::string& frame : this->in_flight) {
            buffers.push_back(h2o_iovec_init(frame.data(), frame.size()));
        }
        h2o_socket_write(this->socket, buffers.data(), buffers.size(), [](h2o_socket_t* sock, const char* failure) {
            auto& self = *static_cast<connection*>(sock->data);
            for (const std::string& frame : self.in_flight) {
                self.queued_bytes -= frame.size();
            }
            self.in_flight.clear();
            if (failure != nullptr) {
                self.on_closed(self);
                return;
            }
            self.write_next();
        });
    }

private:
    std::deque<std::string> queue;
    std::deque<std::string> in_flight;
    std::size_t queued_bytes = 0;
};

}  // namespace

// ---- Transport ----

namespace {

// Of one message type.
struct traffic_counters {
    prometheus::Counter* sent_bytes;
    prometheus::Counter* received_bytes;
    prometheus::Counter* sent_messages;
    prometheus::Counter* received_messages;
};

}  // namespace

struct peer_transport::impl {
    struct peer {
        ip_address address;
        std::uint64_t address_incarnation = 0;  // that is known to use the address; 0: the address is from the settings
        duration send_delay{};
        duration reconnect_delay = first_reconnect_delay;
        std::unique_ptr<connection> outgoing;
        timer_id reconnect_timer = 0;
        timer_id connect_timer = 0;
    };

    event_loop& loop;
    std::string cluster;
    std::string id;
    std::uint64_t incarnation = 0;
    peer_handler handler;
    peer_patience patience;
    metric_registry& metrics;
    std::map<wire::message, traffic_counters> traffic;  // of the types that have occurred
    prometheus::Counter& dropped;
    prometheus::Counter& corrupt;
    prometheus::Counter& stale;
    h2o_socket_t* listener = nullptr;
    std::map<std::string, peer> peers;
    std::map<connection*, std::unique_ptr<connection>> accepted;
    std::map<std::string, connection*> accepted_by_id;
    std::map<std::string, std::uint64_t> newest;       // incarnation known of each peer
    std::vector<std::unique_ptr<connection>> closing;  // destroyed on a later turn, outside their own callbacks
    std::uint64_t last_connection = 0;
    std::uint64_t changes = 1;  // of anything that route() depends on

    impl(event_loop& loop, std::string cluster, std::string id, metric_registry& metrics, peer_handler handler,
         const peer_patience& patience)
        : loop(loop), cluster(std::move(cluster)), id(std::move(id)), handler(std::move(handler)), patience(patience),
          metrics(metrics), dropped(metrics.counter("persimmongrade_peer_dropped_messages_total",
                                                    "Messages dropped: no connection or full queue.")),
          corrupt(metrics.counter("persimmongrade_peer_corrupt_frames_total",
                                  "Frames with a bad length, checksum or content.")),
          stale(metrics.counter("persimmongrade_peer_stale_messages_total",
                                "Messages of processes that were replaced under the same id, dropped.")) {}

    traffic_counters& traffic_of(wire::message type) {
        auto found = this->traffic.find(type);
        if (found != this->traffic.end()) {
            return found->second;
        }
        metric_registry::labels label{{"message", wire::EnumNamemessage(type)}};
        auto counter = [&](const char* name, const char* help) { return &this->metrics.counter(name, help, label); };
        traffic_counters added{
            counter("persimmongrade_peer_sent_bytes_total", "Bytes of frames queued to peers, by message type."),
            counter("persimmongrade_peer_received_bytes_total", "Bytes of frames received, by message type."),
            counter("persimmongrade_peer_sent_messages_total", "Messages queued to peers, by message type."),
            counter("persimmongrade_peer_received_messages_total", "Messages received, by message type.")};
        return this->traffic.emplace(type, added).first->second;
    }

    void close_later(std::unique_ptr<connection> closed) {
        if (!closed) {
            return;
        }
        ++this->changes;
        h2o_socket_read_stop(closed->socket);
        this->closing.push_back(std::move(closed));
        this->loop.after(duration::zero(), [this] { this->closing.clear(); });
    }

    void connect(const std::string& peer_id) {
        peer& entry = this->peers.at(peer_id);
        sockaddr_storage storage{};
        socklen_t length = entry.address.to_sockaddr(storage);
        h2o_socket_t* socket = h2o_socket_connect(this->loop.native(), reinterpret_cast<sockaddr*>(&storage), length,
                                                  [](h2o_socket_t* sock, const char* failure) {
                                                      auto& self = *static_cast<connection*>(sock->data);
                                                      if (failure != nullptr) {
                                                          self.on_closed(self);
                                                          return;
                                                      }
                                                      self.start_reading();
                                                      self.on_established();
                                                      self.write_next();
                                                  });
        if (socket == nullptr) {
            this->schedule_reconnect(peer_id);
            return;
        }
        entry.outgoing = std::make_unique<connection>(socket, ++this->last_connection, this->patience.unacknowledged);
        entry.outgoing->peer_id = peer_id;
        entry.outgoing->on_readable = [this](connection& readable) { this->read_frames(readable); };
        entry.outgoing->on_established = [this] { ++this->changes; };
        entry.outgoing->on_closed = [this, peer_id](connection& closed) {
            auto found = this->peers.find(peer_id);
            if (found != this->peers.end() && found->second.outgoing.get() == &closed) {  // not replaced meanwhile
                this->outgoing_closed(peer_id);
            }
        };
        entry.connect_timer = this->loop.after(this->patience.connect, [this, peer_id] {
            auto found = this->peers.find(peer_id);
            if (found != this->peers.end() && found->second.outgoing && !found->second.outgoing->established) {
                this->outgoing_closed(peer_id);
            }
        });
    }

    void outgoing_closed(const std::string& peer_id) {
        auto found = this->peers.find(peer_id);
        if (found == this->peers.end() || !found->second.outgoing) {
            return;
        }
        if (found->second.outgoing->established) {
            found->second.reconnect_delay = first_reconnect_delay;
        }
        this->loop.cancel(found->second.connect_timer);
        this->close_later(std::move(found->second.outgoing));
        this->schedule_reconnect(peer_id);
    }

    void schedule_reconnect(const std::string& peer_id) {
        peer& entry = this->peers.at(peer_id);
        entry.reconnect_timer = this->loop.after(entry.reconnect_delay, [this, peer_id] { this->connect(peer_id); });
        entry.reconnect_delay = std::min(entry.reconnect_delay * 2, this->patience.reconnect);
    }

    void reconnect(const std::string& peer_id) {
        peer& entry = this->peers.at(peer_id);
        this->loop.cancel(entry.reconnect_timer);
        this->loop.cancel(entry.connect_timer);
        this->close_later(std::move(entry.outgoing));
        this->connect(peer_id);
    }

    void accept(h2o_socket_t* socket) {
        auto incoming = std::make_unique<connection>(socket, ++this->last_connection, this->patience.unacknowledged);
        incoming->on_readable = [this](connection& readable) { this->read_frames(readable); };
        incoming->on_closed = [this](connection& closed) { this->accepted_closed(closed); };
        incoming->start_reading();
        this->accepted.emplace(incoming.get(), std::move(incoming));
    }

    void accepted_closed(connection& closed) {
        auto by_id = this->accepted_by_id.find(closed.peer_id);
        if (by_id != this->accepted_by_id.end() && by_id->second == &closed) {
            this->accepted_by_id.erase(by_id);
            ++this->changes;
        }
        auto node = this->accepted.extract(&closed);
        if (!node.empty()) {
            this->close_later(std::move(node.mapped()));
        }
    }

    void read_frames(connection& source) {
        bool is_outgoing = !this->accepted.contains(&source);
        while (true) {
            decoded_frame frame = decode_frame(source.socket->input->bytes, source.socket->input->size);
            if (frame.status == frame_status::incomplete) {
                return;
            }
            bool wrong = frame.status == frame_status::corrupt || frame.envelope->cluster != this->cluster;
            if (wrong) {
                this->corrupt.Increment();
                log_warning("peer frame rejected, closing connection", field("peer", source.peer_id));
                source.on_closed(source);
                return;
            }
            h2o_buffer_consume(&source.socket->input, frame.consumed);
            traffic_counters& counters = this->traffic_of(frame.envelope->body.type);
            counters.received_bytes->Increment(static_cast<double>(frame.consumed));
            counters.received_messages->Increment();
            if (!this->is_current(source, *frame.envelope)) {
                this->stale.Increment();
                continue;
            }
            if (!is_outgoing && source.peer_id != frame.envelope->from) {
                source.peer_id = frame.envelope->from;
                this->accepted_by_id[source.peer_id] = &source;
                ++this->changes;
            }
            this->handler(*frame.envelope);
            bool closed_by_handler = is_outgoing ? !this->is_outgoing_open(source) : !this->accepted.contains(&source);
            if (closed_by_handler) {
                return;
            }
        }
    }

    // False for a message of a process that was replaced. Notes a newer incarnation.
    bool is_current(connection& source, const wire::envelope_t& envelope) {
        this->changes += source.incarnation != envelope.incarnation ? 1 : 0;
        source.incarnation = envelope.incarnation;
        if (envelope.incarnation == 0) {
            return true;
        }
        std::uint64_t& known = this->newest[envelope.from];
        this->changes += envelope.incarnation > known ? 1 : 0;
        known = std::max(known, envelope.incarnation);
        return envelope.incarnation == known;
    }

    bool is_outgoing_open(const connection& source) const {
        return std::any_of(this->peers.begin(), this->peers.end(),
                           [&](const auto& entry) { return entry.second.outgoing.get() == &source; });
    }

    // The own connection to the peer, unless a newer incarnation than that of its address has connected.
    connection* route(const std::string& to) {
        auto known = this->newest.find(to);
        std::uint64_t current = known == this->newest.end() ? 0 : known->second;
        auto incoming = this->accepted_by_id.find(to);
        connection* accepted_connection = nullptr;
        if (incoming != this->accepted_by_id.end() && incoming->second->incarnation >= current) {
            accepted_connection = incoming->second;
        }
        auto found = this->peers.find(to);
        if (found == this->peers.end() || !found->second.outgoing || !found->second.outgoing->established) {
            return accepted_connection;
        }
        bool may_be_old = found->second.address_incarnation < current;
        return may_be_old && accepted_connection != nullptr ? accepted_connection : found->second.outgoing.get();
    }

    bool transmit(const std::string& to, wire::message type, std::string frame) {
        connection* target = this->route(to);
        auto size = static_cast<double>(frame.size());
        if (target == nullptr || !target->enqueue(std::move(frame))) {
            this->dropped.Increment();
            return false;
        }
        traffic_counters& counters = this->traffic_of(type);
        counters.sent_bytes->Increment(size);
        counters.sent_messages->Increment();
        return true;
    }
};

peer_transport::peer_transport(event_loop& loop, std::string cluster, std::string id, const ip_address& listen_address,
                               metric_registry& metrics, peer_handler handler, const peer_patience& patience)
    : state(std::make_unique<impl>(loop, std::move(cluster), std::move(id), metrics, std::move(handler), patience)) {
    this->state->listener = open_listener(loop, listen_address);
    this->state->listener->data = this->state.get();
    h2o_socket_read_start(this->state->listener, [](h2o_socket_t* listener, const char* failure) {
        if (failure != nullptr) {
            return;
        }
        auto& owner = *static_cast<impl*>(listener->data);
        while (h2o_socket_t* socket = h2o_evloop_socket_accept(listener)) {
            owner.accept(socket);
        }
    });
}

peer_transport::~peer_transport() {
    for (auto& [id, entry] : this->state->peers) {
        this->state->loop.cancel(entry.reconnect_timer);
        this->state->loop.cancel(entry.connect_timer);
    }
    h2o_socket_close(this->state->listener);
    // A timer of close_later or of a delayed send may still hold the state.
    this->state->peers.clear();
    this->state->accepted.clear();
    this->state->accepted_by_id.clear();
    this->state->handler = [](const wire::envelope_t&) {};
    retain_until_exit(std::move(this->state));
}

void peer_transport::add_peer(const std::string& id, const ip_address& address, duration send_delay) {
    impl::peer& entry = this->state->peers[id];
    entry.address = address;
    entry.send_delay = send_delay;
    if (!entry.outgoing && entry.reconnect_timer == 0) {
        this->state->connect(id);
    }
}

void peer_transport::remove_peer(const std::string& id) {
    auto node = this->state->peers.extract(id);
    if (node.empty()) {
        return;
    }
    this->state->loop.cancel(node.mapped().reconnect_timer);
    this->state->loop.cancel(node.mapped().connect_timer);
    this->state->close_later(std::move(node.mapped().outgoing));
}

bool peer_transport::update_peer(const std::string& id, const ip_address& address, std::uint64_t incarnation) {
    auto found = this->state->peers.find(id);
    std::uint64_t& known = this->state->newest[id];
    if (found == this->state->peers.end() || incarnation < known) {
        return false;
    }
    bool newer = incarnation > known;
    known = incarnation;
    this->state->changes += newer ? 1 : 0;
    impl::peer& entry = found->second;
    entry.address_incarnation = incarnation;
    if (entry.address != address) {
        entry.address = address;
        entry.reconnect_delay = first_reconnect_delay;
        this->state->reconnect(id);
    }
    return newer;
}

void peer_transport::set_incarnation(std::uint64_t incarnation) {
    this->state->incarnation = incarnation;
}

bool peer_transport::connected(const std::string& id) const {
    return this->state->route(id) != nullptr;
}

std::size_t peer_transport::queued_bytes(const std::string& id) const {
    const connection* route = this->state->route(id);
    return route == nullptr ? 0 : route->queue_size();
}

received_traffic peer_transport::received(const std::string& id) const {
    const connection* route = this->state->route(id);
    return route == nullptr ? received_traffic{} : route->received;
}

std::uint64_t peer_transport::connection_number(const std::string& id) const {
    const connection* route = this->state->route(id);
    return route == nullptr ? 0 : route->number;
}

std::uint64_t peer_transport::connection_changes() const noexcept {
    return this->state->changes;
}

bool peer_transport::send_message(const std::string& to, wire::messageUnion message) {
    wire::envelope_t envelope;
    envelope.cluster = this->state->cluster;
    envelope.from = this->state->id;
    envelope.body = std::move(message);
    envelope.incarnation = this->state->incarnation;
    wire::message type = envelope.body.type;
    std::string frame = encode_frame(envelope);
    auto found = this->state->peers.find(to);
    if (found == this->state->peers.end() || found->second.send_delay == duration::zero()) {
        return this->state->transmit(to, type, std::move(frame));
    }
    this->state->loop.after(found->second.send_delay, [state = this->state.get(), to, type, frame = std::move(frame)] {
        state->transmit(to, type, frame);
    });
    return this->connected(to);
}

}  // namespace persimmongrade
