#include "hickorypost/gateway/backend_directory.h"

#include <algorithm>

namespace hickorypost::gateway {

backend_directory::change backend_directory::take(const backend_record& record, instant now)
{
    if (tombstones_.contains(record.id)) {
        return change::none;
    }
    if (record.state == backend_state::gone) {
        return remove(record.id, now) ? change::changed : change::none;
    }
    const auto [at, is_new] = entries_.try_emplace(record.id);
    backend_entry& it = at->second;
    if (!is_new && record.sequence <= it.record.sequence) {
        return change::none;
    }
    // A backend server that has said it drains does not take it back within one incarnation; a
    // heartbeat from before, passed on by another way, must not bring work to it.
    const bool drains = !is_new && it.record.state == backend_state::draining;
    const bool differs = is_new || it.record.state != record.state ||
                         it.record.address != record.address || it.record.slots != record.slots ||
                         it.record.version != record.version;
    it.record = record;
    if (drains) {
        it.record.state = backend_state::draining;
    }
    it.heard = now;
    claim_address(it);
    return differs ? change::changed : change::touched;
}

void backend_directory::claim_address(backend_entry& it)
{
    std::string& holder = at_address_[it.record.address];
    if (holder == it.record.id) {
        return;
    }
    const auto other = entries_.find(holder);
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

bool backend_directory::touch(std::string_view id, std::uint64_t sequence, instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || sequence <= found->second.record.sequence) {
        return false;
    }
    backend_entry& it = found->second;
    it.record.sequence = sequence;
    it.heard = now;
    claim_address(it);
    return true;
}

bool backend_directory::remove(std::string_view id, instant now)
{
    const bool fresh = tombstones_.insert_or_assign(std::string{id}, now).second;
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return fresh;
    }
    const auto holder = at_address_.find(found->second.record.address);
    if (holder != at_address_.end() && holder->second == id) {
        at_address_.erase(holder);
    }
    entries_.erase(found);
    return true;
}

std::vector<backend_directory::hearing> backend_directory::expire(instant now)
{
    std::vector<hearing> out;
    std::erase_if(tombstones_,
                  [&](const auto& it) { return now > it.second + settings_.tombstone; });
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (now <= it->second.heard + settings_.forget_after) {
            if (const bool silent = stale(it->second, now); silent != it->second.silent) {
                it->second.silent = silent;
                out.push_back({it->first, silent});
            }
            ++it;
            continue;
        }
        const auto holder = at_address_.find(it->second.record.address);
        if (holder != at_address_.end() && holder->second == it->first) {
            at_address_.erase(holder);
        }
        it = entries_.erase(it);
    }
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
    for (const auto& [id, since] : tombstones_) {
        backend_record gone;
        gone.id = id;
        gone.state = backend_state::gone;
        out.push_back(std::move(gone));
    }
    return out;
}

} // namespace hickorypost::gateway
