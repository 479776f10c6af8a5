#include "hickorypost/gateway/backend_directory.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// The name of a backend server. Records from processes that predate the name field leave it empty.
const std::string& name_of(const backend_record& record)
{
    return record.name.empty() ? record.id : record.name;
}

} // namespace

std::string incarnation_id(std::string_view name, std::uint64_t born)
{
    std::string out{name};
    if (born != 0) {
        out += "@" + std::to_string(born);
    }
    return out;
}

backend_directory::change backend_directory::take(const backend_record& record, instant now)
{
    if (record.state == backend_state::gone) {
        return handle_departure(record, now);
    }
    if (blocked_by_tombstone(record) || !accept_start(record, now)) {
        return change::none;
    }
    const auto [at, is_new] = entries_.try_emplace(record.id);
    backend_entry& it = at->second;
    // An incarnation never changes its service. A record of another service with the same id comes
    // from a foreign or faulty sender; if applied, a working backend server would get no more work.
    if (!is_new && record.service != it.record.service) {
        return change::none;
    }
    if (!is_new && record.sequence <= it.record.sequence) {
        // Another host may have learned from an answer that the backend server drains, and forwards
        // that with the newest heartbeat that it knows.
        const bool drains = record.state == backend_state::draining && mark_draining(record.id);
        return drains ? change::changed : change::none;
    }
    // Draining is final within an incarnation; an earlier heartbeat that arrives over another path
    // must not direct work to the backend server again.
    const bool is_draining = !is_new && it.record.state == backend_state::draining;
    const instant cold_until = now + millis{static_cast<std::int64_t>(record.cold_ms)};
    const micros cold_change = std::max(cold_until, now) - std::max(it.cold_until, now);
    const bool cold_differs = std::chrono::abs(cold_change) > settings_.min_cold_change;
    const bool differs = is_new || it.record.state != record.state ||
                         it.record.address != record.address || it.record.slots != record.slots ||
                         it.record.version != record.version || cold_differs;
    if (is_new || cold_differs) {
        it.cold_until = cold_until;
    }
    it.record = record;
    it.record.name = name_of(record);
    if (is_draining) {
        it.record.state = backend_state::draining;
    }
    it.heard = now;
    clear_probe_failures(it, record.sequence);
    claim_address(it);
    return differs ? change::changed : change::touched;
}

backend_directory::tombstone_map::iterator
backend_directory::find_tombstone(const backend_record& record)
{
    const auto exact = tombstones_.find(record.id);
    if (exact != tombstones_.end()) {
        return exact;
    }
    // A departure by name that arrived before any incarnation was known.
    const auto by_name = tombstones_.find(name_of(record));
    const bool applies =
        by_name != tombstones_.end() && by_name->second.announced_name == by_name->first;
    return applies ? by_name : tombstones_.end();
}

bool backend_directory::blocked_by_tombstone(const backend_record& record)
{
    const auto found = find_tombstone(record);
    if (found == tombstones_.end()) {
        return false;
    }
    tombstone& it = found->second;
    const bool refutable = !it.announced_name.empty() && it.announced_name != record.id;
    if (!refutable || record.sequence <= it.sequence) {
        return true;
    }
    // A departure without a start time may be a delayed one of an earlier incarnation. A single
    // heartbeat may be delayed too; further ones show that the incarnation runs.
    it.sequence = record.sequence;
    if (++it.heartbeats < settings_.heartbeats_to_refute_departure) {
        return true;
    }
    tombstones_.erase(found);
    return false;
}

bool backend_directory::accept_start(const backend_record& record, instant now)
{
    const auto [at, is_new] = newest_starts_.try_emplace(name_of(record));
    known_start& newest = at->second;
    if (!is_new && newest.id != record.id) {
        if (record.born <= newest.born) {
            return false;
        }
        if (add_tombstone(newest.id, {now, {}, 0, 0, 0})) {
            superseded_.push_back(newest.id);
        }
    }
    newest = {record.id, record.born, now};
    return true;
}

backend_directory::change backend_directory::handle_departure(const backend_record& record,
                                                              instant now)
{
    const std::string& name = name_of(record);
    if (record.born != 0) {
        accept_start(record, now);
    }
    const auto newest = newest_starts_.find(name);
    const bool is_known = newest != newest_starts_.end();
    const bool names_newest = record.born == 0 && is_known && newest->second.born != 0;
    const std::string id = names_newest ? newest->second.id : record.id;
    const auto known = entries_.find(id);
    if (names_newest && known == entries_.end()) {
        return change::none; // already removed
    }
    tombstone stone{now, {}, record.sequence, 0, record.born};
    if (names_newest || !is_known || record.announced_by_name) {
        stone.announced_name = name;
    }
    if (names_newest) {
        stone.born = newest->second.born;
    }
    if (known != entries_.end()) {
        stone.sequence = std::max(stone.sequence, known->second.record.sequence);
    }
    return add_tombstone(id, std::move(stone)) ? change::changed : change::none;
}

void backend_directory::claim_address(backend_entry& it)
{
    std::string& holder = address_holders_[it.record.address];
    if (holder == it.record.id) {
        return;
    }
    const auto other = entries_.find(holder);
    if (other != entries_.end() && it.record.born != 0 &&
        it.record.born < other->second.record.born) {
        it.replaced = true; // the present holder started later
        return;
    }
    if (it.replaced && other != entries_.end()) {
        // Another incarnation has taken the address. A single delayed heartbeat may arrive after
        // its sender has ended; only a running sender sends several.
        if (++it.heartbeats_since_replaced < settings_.heartbeats_to_restore) {
            return;
        }
        it.replaced = false;
    }
    if (other != entries_.end()) {
        other->second.replaced = true;
        other->second.heartbeats_since_replaced = 0;
    }
    holder = it.record.id;
}

void backend_directory::release_address(const backend_entry& it)
{
    const auto holder = address_holders_.find(it.record.address);
    if (holder != address_holders_.end() && holder->second == it.record.id) {
        address_holders_.erase(holder);
    }
}

bool backend_directory::touch(std::string_view id, std::uint64_t sequence, instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || sequence <= found->second.record.sequence) {
        return false;
    }
    backend_entry& it = found->second;
    it.record.sequence = sequence;
    it.heard = now;
    clear_probe_failures(it, sequence);
    claim_address(it);
    return true;
}

bool backend_directory::take_probe_failure(std::string_view id, std::uint64_t sequence,
                                           std::string_view domain)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || sequence < found->second.record.sequence) {
        return false; // a newer heartbeat has arrived since
    }
    backend_entry& it = found->second;
    if (sequence > it.failed_at_sequence) {
        it.failed_domains.clear();
        it.failed_at_sequence = sequence;
    }
    return sequence == it.failed_at_sequence && it.failed_domains.emplace(domain).second;
}

void backend_directory::clear_probe_failures(backend_entry& it, std::uint64_t sequence)
{
    if (sequence > it.failed_at_sequence) {
        it.failed_domains.clear();
    }
}

const backend_record* backend_directory::mark_draining(std::string_view id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.record.state == backend_state::draining) {
        return nullptr;
    }
    found->second.record.state = backend_state::draining;
    return &found->second.record;
}

bool backend_directory::remove(std::string_view id, instant now)
{
    return add_tombstone(id, {now, {}, 0, 0, 0});
}

bool backend_directory::add_tombstone(std::string_view id, tombstone stone)
{
    const bool fresh = tombstones_.insert_or_assign(std::string{id}, std::move(stone)).second;
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return fresh;
    }
    release_address(found->second);
    entries_.erase(found);
    return true;
}

std::vector<std::string> backend_directory::take_superseded()
{
    return std::exchange(superseded_, {});
}

std::vector<backend_directory::silence_change> backend_directory::expire(instant now)
{
    std::vector<silence_change> out;
    std::erase_if(tombstones_,
                  [&](const auto& it) { return now > it.second.at + settings_.tombstone; });
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (now <= it->second.heard + settings_.forget_after) {
            if (const bool silent = stale(it->second, now); silent != it->second.silent) {
                it->second.silent = silent;
                out.push_back({it->first, silent});
            }
            ++it;
            continue;
        }
        release_address(it->second);
        it = entries_.erase(it);
    }
    std::erase_if(newest_starts_, [&](const auto& it) {
        return now > it.second.seen + settings_.tombstone && !entries_.contains(it.second.id);
    });
    return out;
}

std::size_t backend_directory::silent() const noexcept
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                  [](const auto& it) { return it.second.silent; }));
}

const backend_entry* backend_directory::find(std::string_view id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

const backend_entry* backend_directory::find_named(std::string_view name) const
{
    const auto it = newest_starts_.find(name);
    return it == newest_starts_.end() ? nullptr : find(it->second.id);
}

std::vector<const backend_entry*> backend_directory::usable(std::string_view service,
                                                            instant now) const
{
    std::vector<const backend_entry*> fresh;
    std::vector<const backend_entry*> silent;
    for (const auto& [id, it] : entries_) {
        if (it.record.service != service || it.record.state != backend_state::ready ||
            it.replaced || is_evacuated(it.record.failure_domain)) {
            continue;
        }
        (stale(it, now) ? silent : fresh).push_back(&it);
    }
    // If heartbeats are lost everywhere, all entries are silent although most backend servers work.
    return fresh.empty() ? silent : fresh;
}

std::vector<backend_record> backend_directory::all(instant now) const
{
    std::vector<backend_record> out;
    out.reserve(entries_.size() + tombstones_.size());
    for (const auto& [id, it] : entries_) {
        auto& record = out.emplace_back(it.record);
        const instant cold_until = std::max({it.cold_until, it.assumed_cold_until, now});
        record.cold_ms = static_cast<std::uint64_t>(to_millis(cold_until - now));
    }
    for (const auto& [id, it] : tombstones_) {
        backend_record gone;
        gone.id = id;
        gone.state = backend_state::gone;
        gone.sequence = it.sequence;
        gone.name = it.announced_name;
        gone.born = it.born;
        gone.announced_by_name = !it.announced_name.empty();
        out.push_back(std::move(gone));
    }
    return out;
}

std::vector<std::string> backend_directory::set_evacuated(std::vector<std::string> domains)
{
    std::vector<std::string> ended = std::exchange(evacuated_domains_, std::move(domains));
    std::erase_if(ended, [this](const auto& it) { return is_evacuated(it); });
    return ended;
}

bool backend_directory::is_evacuated(std::string_view domain) const
{
    return std::find(evacuated_domains_.begin(), evacuated_domains_.end(), domain) !=
           evacuated_domains_.end();
}

bool backend_directory::is_fully_evacuated(std::string_view service) const
{
    bool out = false;
    for (const auto& [id, it] : entries_) {
        if (it.record.service == service && it.record.state == backend_state::ready) {
            if (!is_evacuated(it.record.failure_domain)) {
                return false;
            }
            out = true;
        }
    }
    return out;
}

bool backend_directory::has_backends_in(std::string_view domain) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const auto& it) { return it.second.record.failure_domain == domain; });
}

void backend_directory::assume_cold(std::string_view domain, std::string_view service,
                                    instant until)
{
    for (auto& [id, it] : entries_) {
        if (it.record.failure_domain == domain && it.record.service == service) {
            it.assumed_cold_until = std::max(it.assumed_cold_until, until);
        }
    }
}

} // namespace hickorypost::gateway
