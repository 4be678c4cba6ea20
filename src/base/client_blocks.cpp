#include "persimmongrade/client_blocks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace persimmongrade {

namespace {

constexpr std::size_t v4_bytes = 4;
constexpr std::size_t v6_bytes = 16;
constexpr std::array<std::uint8_t, 12> mapped_v4 = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

std::size_t width(const client_address& address) noexcept {
    return address.v6 ? v6_bytes : v4_bytes;
}

bool is_mapped(const client_address& address) noexcept {
    return address.v6 && std::equal(mapped_v4.begin(), mapped_v4.end(), address.bytes.begin());
}

client_address unmap(const client_address& address) noexcept {
    client_address result;
    std::copy_n(address.bytes.begin() + mapped_v4.size(), 4, result.bytes.begin());
    return result;
}

client_address parse_raw(std::string_view text) {
    std::array<char, INET6_ADDRSTRLEN + 1> buffer{};
    client_address result;
    if (text.size() < buffer.size()) {
        std::copy(text.begin(), text.end(), buffer.begin());
        result.v6 = text.find(':') != std::string_view::npos;
        if (inet_pton(result.v6 ? AF_INET6 : AF_INET, buffer.data(), result.bytes.data()) == 1) {
            return result;
        }
    }
    throw client_block_error("\"" + std::string(text.substr(0, 64)) + "\" is not a numeric IP address");
}

void clear_after(client_address& address, std::uint8_t length) noexcept {
    for (std::size_t i = 0; i < address.bytes.size(); ++i) {
        int keep = std::clamp(static_cast<int>(length) - static_cast<int>(i) * 8, 0, 8);
        address.bytes[i] = static_cast<std::uint8_t>(address.bytes[i] & (0xff00 >> keep));
    }
}

}  // namespace

// ---- Addresses and prefixes ----

client_address parse_client_address(std::string_view text) {
    client_address result = parse_raw(text);
    return is_mapped(result) ? unmap(result) : result;
}

client_prefix parse_client_prefix(std::string_view text) {
    auto slash = text.find('/');
    client_prefix result{parse_raw(text.substr(0, slash)), 0};
    unsigned longest = result.address.v6 ? 128 : 32;
    unsigned length = longest;
    if (slash != std::string_view::npos) {
        const char* end = text.data() + text.size();
        auto parsed = std::from_chars(text.data() + slash + 1, end, length);
        if (parsed.ec != std::errc() || parsed.ptr != end || length > longest) {
            throw client_block_error("\"" + std::string(text.substr(0, 64)) + "\" has no valid prefix length");
        }
    }
    if (is_mapped(result.address) && length >= 96) {
        result.address = unmap(result.address);
        length -= 96;
    }
    result.length = static_cast<std::uint8_t>(length);
    clear_after(result.address, result.length);
    return result;
}

std::string to_string(const client_address& address) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    inet_ntop(address.v6 ? AF_INET6 : AF_INET, address.bytes.data(), text.data(), text.size());
    return text.data();
}

std::string to_string(const client_prefix& prefix) {
    return to_string(prefix.address) + "/" + std::to_string(prefix.length);
}

// ---- Columns ----

void client_block_writer::add(const client_prefix& prefix, std::string_view site) {
    auto position = this->site_ids.find(site);
    if (position == this->site_ids.end()) {
        if (this->site_ids.size() >= removed_site) {
            throw client_block_error("more than 65,535 sites");
        }
        auto index = static_cast<site_index>(this->site_ids.size());
        position = this->site_ids.emplace(site, index).first;
    }
    this->add_entry(prefix, position->second);
}

void client_block_writer::remove(const client_prefix& prefix) {
    this->add_entry(prefix, removed_site);
}

void client_block_writer::add_entry(const client_prefix& prefix, site_index site) {
    if (!this->columns) {
        this->columns = std::make_unique<wire::client_block_columns_t>();
    }
    auto begin = prefix.address.bytes.begin();
    auto end = begin + static_cast<std::ptrdiff_t>(width(prefix.address));
    this->columns->addresses.insert(this->columns->addresses.end(), begin, end);
    this->columns->versions.push_back(prefix.address.v6 ? 6 : 4);
    this->columns->lengths.push_back(prefix.length);
    this->columns->sites.push_back(site);
}

std::unique_ptr<wire::client_block_columns_t> client_block_writer::take() {
    if (this->columns) {
        this->columns->site_names.resize(this->site_ids.size());
        for (const auto& [name, index] : this->site_ids) {
            this->columns->site_names[index] = name;
        }
    }
    this->site_ids.clear();
    return std::move(this->columns);
}

client_block_reader::client_block_reader(const wire::client_block_columns_t& columns) : columns(columns) {
    if (columns.lengths.size() != columns.versions.size() || columns.sites.size() != columns.versions.size()) {
        throw client_block_error("client blocks have columns of different lengths");
    }
}

bool client_block_reader::next() {
    if (this->index == this->columns.versions.size()) {
        return false;
    }
    this->current = {};
    client_address& address = this->current.address;
    address.v6 = this->columns.versions[this->index] == 6;
    this->current.length = this->columns.lengths[this->index];
    site_index site = this->columns.sites[this->index];
    std::size_t size = width(address);
    bool known = site == removed_site || site < this->columns.site_names.size();
    if (this->offset + size > this->columns.addresses.size() || this->current.length > size * 8 || !known) {
        throw client_block_error("client block " + std::to_string(this->index) + " is out of range");
    }
    auto begin = this->columns.addresses.begin() + static_cast<std::ptrdiff_t>(this->offset);
    std::copy_n(begin, size, address.bytes.begin());
    clear_after(address, this->current.length);
    this->current_site = site == removed_site ? nullptr : &this->columns.site_names[site];
    this->offset += size;
    ++this->index;
    return true;
}

std::size_t count_client_blocks(const wire::steering_record_t& record) noexcept {
    return record.client_blocks ? record.client_blocks->versions.size() : 0;
}

}  // namespace persimmongrade
