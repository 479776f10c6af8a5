#include "hickorypost/gateway/backend_directory.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// The name that a backend server goes by. Records of processes that know no names carry none.
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
        return take_leaving(record, now);
    }
    if (has_left(record) || !take_start(record, now)) {
        return change::none;
    }
    const auto [at, is_new] = entries_.try_emplace(record.id);
    backend_entry& it = at->second;
    if (!is_new && record.sequence <= it.record.sequence) {
        return change::none;
    }
    // An incarnation serves one service for life. Another one under its id comes from a foreign or
    // damaged writer; taken over, a sound backend server would get no more work.
    if (!is_new && record.service != it.record.service) {
        return change::none;
    }
    // A backend server that has said it drains does not take it back within one incarnation; a
    // heartbeat from before, passed on by another way, must not bring work to it.
    const bool drains = !is_new && it.record.state == backend_state::draining;
    const bool differs = is_new || it.record.state != record.state ||
                         it.record.address != record.address || it.record.slots != record.slots ||
                         it.record.version != record.version;
    it.record = record;
    it.record.name = name_of(record);
    if (drains) {
        it.record.state = backend_state::draining;
    }
    it.heard = now;
    clear_probe_failures(it, record.sequence);
    claim_address(it);
    return differs ? change::changed : change::touched;
}

bool backend_directory::has_left(const backend_record& record)
{
    const auto found = tombstones_.find(record.id);
    if (found == tombstones_.end()) {
        return false;
    }
    tombstone& it = found->second;
    if (it.told_name.empty() || record.sequence <= it.sequence) {
        return true;
    }
    // Word of leaving that names no start may be a late one of the start before. One heartbeat may
    // be late too; one that goes on with them is there.
    it.sequence = record.sequence;
    if (++it.beats < settings_.beats_to_deny_leaving) {
        return true;
    }
    tombstones_.erase(found);
    return false;
}

bool backend_directory::take_start(const backend_record& record, instant now)
{
    const auto [at, is_new] = newest_.try_emplace(name_of(record));
    start_mark& newest = at->second;
    if (!is_new && newest.id != record.id) {
        if (record.born <= newest.born) {
            return false;
        }
        if (bury(newest.id, {now, {}, 0, 0})) {
            superseded_.push_back(newest.id);
        }
    }
    newest = {record.id, record.born, now};
    return true;
}

backend_directory::change backend_directory::take_leaving(const backend_record& record, instant now)
{
    const std::string& name = name_of(record);
    if (record.born != 0) {
        take_start(record, now);
    }
    const auto newest = newest_.find(name);
    const bool by_name = record.born == 0 && newest != newest_.end() && newest->second.born != 0;
    const std::string id = by_name ? newest->second.id : record.id;
    const auto known = entries_.find(id);
    const std::uint64_t sequence = known == entries_.end() ? 0 : known->second.record.sequence;
    if (by_name && known == entries_.end()) {
        return change::none; // it has left already
    }
    return bury(id, {now, by_name ? name : std::string{}, sequence, 0}) ? change::changed
                                                                        : change::none;
}

void backend_directory::claim_address(backend_entry& it)
{
    std::string& holder = at_address_[it.record.address];
    if (holder == it.record.id) {
        return;
    }
    const auto other = entries_.find(holder);
    if (other != entries_.end() && it.record.born != 0 &&
        it.record.born < other->second.record.born) {
        it.replaced = true; // it began before the one that has the address now
        return;
    }
    if (it.replaced && other != entries_.end()) {
        // It lost its address to a newer incarnation. A heartbeat that was held up on its way may
        // still come after its sender's end; only a sender that lives sends several.
        if (++it.beats_since_replaced < settings_.beats_to_return) {
            return;
        }
        it.replaced = false;
    }
    if (other != entries_.end()) {
        other->second.replaced = true;
        other->second.beats_since_replaced = 0;
    }
    holder = it.record.id;
}

void backend_directory::release_address(const backend_entry& it)
{
    const auto holder = at_address_.find(it.record.address);
    if (holder != at_address_.end() && holder->second == it.record.id) {
        at_address_.erase(holder);
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
        return false; // it has been heard of since
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

bool backend_directory::remove(std::string_view id, instant now)
{
    return bury(id, {now, {}, 0, 0});
}

bool backend_directory::bury(std::string_view id, tombstone how)
{
    const bool fresh = tombstones_.insert_or_assign(std::string{id}, std::move(how)).second;
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

std::vector<backend_directory::hearing> backend_directory::expire(instant now)
{
    std::vector<hearing> out;
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
    std::erase_if(newest_, [&](const auto& it) {
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
    const auto it = newest_.find(name);
    return it == newest_.end() ? nullptr : find(it->second.id);
}

std::vector<const backend_entry*> backend_directory::usable(std::string_view service,
                                                            instant now) const
{
    std::vector<const backend_entry*> fresh;
    std::vector<const backend_entry*> silent;
    for (const auto& [id, it] : entries_) {
        if (it.record.service != service || it.record.state != backend_state::ready ||
            it.replaced) {
            continue;
        }
        (stale(it, now) ? silent : fresh).push_back(&it);
    }
    // When heartbeats reach nobody, all are silent, and most of them serve.
    return fresh.empty() ? silent : fresh;
}

std::vector<backend_record> backend_directory::all() const
{
    std::vector<backend_record> out;
    out.reserve(entries_.size() + tombstones_.size());
    for (const auto& [id, it] : entries_) {
        out.push_back(it.record);
    }
    for (const auto& [id, it] : tombstones_) {
        backend_record gone;
        gone.id = it.told_name.empty() ? id : it.told_name;
        gone.state = backend_state::gone;
        out.push_back(std::move(gone));
    }
    return out;
}

} // namespace hickorypost::gateway
