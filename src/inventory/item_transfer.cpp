// Contents: progress; sender (item_stream); messages (item_parts); receiver (item_receiver).

#include "persimmongrade/item_transfer.h"

#include <algorithm>
#include <utility>

#include "persimmongrade/compression.h"

namespace persimmongrade {

namespace {

constexpr std::size_t max_kept_parts = 64;
constexpr std::size_t max_unpacked_bytes = 16u << 20;  // one item may exceed max_part_bytes
constexpr std::size_t small_message_bytes = 200;       // header, and an evacuation or a departure

std::unique_ptr<wire::item_position_t> position_of(std::uint64_t upto, const item_key& key) {
    auto position = std::make_unique<wire::item_position_t>();
    position->upto = upto;
    position->kind = key.first;
    position->name = key.second;
    return position;
}

item_key key_of(const wire::item_position_t& position) {
    return {position.kind, position.name};
}

}  // namespace

// ---- Progress ----

bool item_progress::reaches(const item_progress& other) const {
    if (other.upto == 0 || this->applied >= other.upto) {
        return this->applied >= other.applied;
    }
    return this->applied >= other.applied && this->upto == other.upto && this->last >= other.last;
}

item_progress progress_of(const wire::items_ack_t& ack) {
    item_progress progress;
    progress.applied = ack.applied;
    if (ack.received && ack.received->upto > ack.applied) {
        progress.upto = ack.received->upto;
        progress.last = key_of(*ack.received);
    }
    return progress;
}

wire::items_ack_t ack_of(const item_progress& progress, std::uint64_t number) {
    wire::items_ack_t ack;
    ack.applied = progress.applied;
    ack.number = number;
    if (progress.upto != 0) {
        ack.received = position_of(progress.upto, progress.last);
    }
    return ack;
}

// ---- Sender ----

void item_stream::use(std::uint64_t current) {
    if (std::exchange(this->connection, current) == current) {
        return;
    }
    this->loss_count += this->in_flight.empty() ? 0 : 1;
    this->in_flight.clear();
    this->in_flight_bytes = 0;
    this->restart();
}

// Goes on after what the gateway has stated.
void item_stream::restart() {
    this->expected_progress = this->stated_progress;
    this->announced = this->stated_progress.applied;
    for (unconfirmed& message : this->in_flight) {
        message.counts = false;
    }
}

void item_stream::acknowledge(const item_progress& stated, std::uint64_t number, std::uint64_t current) {
    this->stated_progress = stated;
    this->use(current);
    bool has_lost = false;
    while (!this->in_flight.empty()) {
        const unconfirmed& oldest = this->in_flight.front();
        bool is_held = stated.reaches(oldest.after);
        if (!is_held && oldest.number > number) {
            break;
        }
        has_lost = has_lost || (oldest.counts && !is_held);
        this->in_flight_bytes -= oldest.bytes;
        this->in_flight.pop_front();
    }
    if (has_lost) {
        ++this->loss_count;
        this->restart();
    } else if (this->in_flight.empty()) {
        this->expected_progress = stated;  // another control process may have sent more
    }
}

std::optional<item_part_request> item_stream::next(const item_store& store, std::uint64_t current) {
    this->use(current);
    if (current == 0) {
        return std::nullopt;
    }
    const item_progress& from = this->expected_progress;
    std::uint64_t newest = store.applied();
    if (this->in_flight_bytes < max_unconfirmed_items_bytes) {
        if (from.upto != 0 && from.upto <= newest && this->takes_parts) {
            return item_part_request{from, from.upto, this->announced, false};
        }
        if (from.applied < newest) {
            return item_part_request{{from.applied, 0, {}}, newest, this->announced, !this->takes_parts};
        }
    }
    if (this->takes_parts && store.last_announcement() > this->announced) {
        return item_part_request{from, 0, this->announced, false};
    }
    return std::nullopt;
}

void item_stream::sent(const item_part_request& request, const wire::items_delta_t& message) {
    std::size_t small = 1 + message.items.size() + message.evacuations.size() + message.departures.size();
    std::size_t bytes = message.packed.size() + small * small_message_bytes;
    if (request.upto != 0) {
        this->expected_progress = message.ends_at
                                      ? item_progress{request.after.applied, request.upto, key_of(*message.ends_at)}
                                      : item_progress{request.upto, 0, {}};
    }
    this->announced = std::max(this->announced, message.announced_upto);
    this->in_flight.push_back({++this->last_number, bytes, this->expected_progress, true});
    this->in_flight_bytes += bytes;
}

// ---- Messages ----

const item_parts::part& item_parts::part_after(const item_store& store, const item_part_request& request) {
    if (this->made_at != store.applied() || this->made.size() >= max_kept_parts) {
        this->made.clear();
        this->made_at = store.applied();
    }
    bool is_first = request.after.upto == 0;
    auto [place, added] = this->made.try_emplace(part_key{request.after.applied, is_first, request.after.last});
    part& result = place->second;
    if (!added) {
        return result;
    }
    changed_items changed =
        store.changes_after(request.after.applied, is_first ? nullptr : &request.after.last, this->part_bytes);
    result.ends_at = std::move(changed.ends_at);
    if (changed.bytes < min_packed_bytes) {
        result.items = std::move(changed.items);
        return result;
    }
    wire::item_list_t list;
    for (wire::item_t& item : changed.items) {
        list.items.push_back(std::make_unique<wire::item_t>(std::move(item)));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::item_list::Pack(builder, &list));
    result.packed = compress({builder.GetBufferPointer(), builder.GetSize()});
    result.unpacked_bytes = builder.GetSize();
    return result;
}

wire::items_delta_t item_parts::make(const item_store& store, const item_part_request& request) {
    if (request.whole) {
        return store.changes_since(request.after.applied);
    }
    wire::items_delta_t message = store.announcements_since(request.announced_after);
    message.announced_upto = store.applied();
    if (request.upto == 0) {
        return message;
    }
    message.base = request.after.applied;
    message.upto = request.upto;
    const part& made = this->part_after(store, request);
    for (const wire::item_t& item : made.items) {
        message.items.push_back(std::make_unique<wire::item_t>(item));
    }
    message.packed = made.packed;
    message.unpacked_bytes = made.unpacked_bytes;
    if (request.after.upto != 0) {
        message.follows = position_of(request.after.upto, request.after.last);
    }
    if (made.ends_at) {
        message.ends_at = position_of(request.upto, *made.ends_at);
    }
    return message;
}

// ---- Receiver ----

namespace {

std::optional<std::vector<std::unique_ptr<wire::item_t>>> items_of(const wire::items_delta_t& message) {
    std::vector<std::unique_ptr<wire::item_t>> items;
    for (const auto& item : message.items) {
        items.push_back(std::make_unique<wire::item_t>(*item));
    }
    if (message.packed.empty()) {
        return items;
    }
    if (message.unpacked_bytes > max_unpacked_bytes) {
        return std::nullopt;
    }
    auto bytes = decompress(message.packed, message.unpacked_bytes);
    if (!bytes) {
        return std::nullopt;
    }
    flatbuffers::Verifier verifier(bytes->data(), bytes->size());
    if (!verifier.VerifyBuffer<wire::item_list>(nullptr)) {
        return std::nullopt;
    }
    std::unique_ptr<wire::item_list_t> list(flatbuffers::GetRoot<wire::item_list>(bytes->data())->UnPack());
    for (auto& item : list->items) {
        items.push_back(std::move(item));
    }
    return items;
}

}  // namespace

item_progress item_receiver::held() const {
    bool in_progress = this->upto > this->store.applied();
    return {this->store.applied(), in_progress ? this->upto : 0, in_progress ? this->last : item_key{}};
}

items_result item_receiver::receive(const wire::items_delta_t& message) {
    bool has_announced = this->store.merge_announcements(message);
    items_result result = this->receive_items(message);
    result.has_announced = has_announced;
    return result;
}

items_result item_receiver::receive_items(const wire::items_delta_t& message) {
    if (message.upto <= this->store.applied()) {
        return {items_outcome::known};
    }
    bool is_same_transfer = this->upto == message.upto;
    bool follows = message.follows == nullptr ||
                   (is_same_transfer && message.follows->upto == this->upto && key_of(*message.follows) <= this->last);
    if (message.base > this->store.applied() || !follows) {
        return {items_outcome::lacks_earlier};
    }
    if (is_same_transfer && message.ends_at && key_of(*message.ends_at) <= this->last) {
        return {items_outcome::known};
    }
    auto items = items_of(message);
    if (!items) {
        return {items_outcome::unreadable};
    }
    if (message.follows == nullptr) {
        this->waiting.clear();
    }
    this->waiting.insert(this->waiting.end(), std::make_move_iterator(items->begin()),
                         std::make_move_iterator(items->end()));
    if (message.ends_at) {
        this->upto = message.upto;
        this->last = key_of(*message.ends_at);
        return {items_outcome::stored};
    }
    std::size_t count = this->waiting.size();
    this->store.merge_items(std::exchange(this->waiting, {}), message.upto);
    this->upto = 0;
    return {items_outcome::applied, false, count};
}

}  // namespace persimmongrade
