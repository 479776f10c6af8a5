#include "hickorypost/records/records_state.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>

namespace hickorypost::records {

namespace {

/// Number of results kept to answer resent changes. Operators resend within minutes; at 1,700
/// changes per day this covers more than five days.
constexpr std::size_t max_stored_results = 10'000;
constexpr std::uint32_t saved_format = 1;

std::string key_of(std::string_view kind, std::string_view name)
{
    return std::string{kind} + "/" + std::string{name};
}

std::uint64_t digest_of(const record_change& change)
{
    const std::uint64_t seed = hash_bytes(change.document, change.number);
    return hash_bytes(change.name, hash_bytes(change.kind, seed ^ change.amends));
}

struct saved_result {
    std::string change_id;
    std::uint64_t digest = 0;
    change_result result;
};

} // namespace

struct records_state::saved_state {
    std::uint32_t format = saved_format;
    std::uint64_t index = 0;
    std::vector<stored_record> records;
    std::vector<saved_result> seen;
    std::vector<rollout_progress> progress;
};

change_result records_state::preview(const record_change& change) const
{
    change_result out;
    if (const auto seen = results_.find(change.change_id); seen != results_.end()) {
        if (seen->second.digest == digest_of(change)) {
            return seen->second.result;
        }
        out.status = change_status::id_reused;
        out.winner = change.change_id;
        return out;
    }
    const auto found = records_.find(key_of(change.kind, change.name));
    if (found == records_.end()) {
        out.status = change.amends == 0 ? change_status::accepted : change_status::missing;
        return out;
    }
    const stored_record& current = found->second;
    out.number = current.number;
    out.winner = current.change_id;
    if (change.amends == 0) {
        out.status = change_status::exists;
    } else if (change.amends != current.number) {
        // Optimistic concurrency control: of several concurrent changes with equal numbers exactly
        // one amends the newest revision. The others would overwrite a revision that their
        // operators have not seen.
        out.status =
            change.number <= current.number ? change_status::number_taken : change_status::stale;
    } else if (change.number <= current.number) {
        out.status = change_status::number_taken;
    }
    return out;
}

change_result records_state::apply(std::uint64_t index, std::int64_t wall_ms,
                                   const records_command& command)
{
    index_ = index;
    if (command.progress) {
        apply_progress(wall_ms, *command.progress);
    }
    if (!command.change) {
        return {.index = index};
    }
    return apply_change(index, wall_ms, *command.change);
}

change_result records_state::apply_encoded(std::uint64_t index, std::int64_t wall_ms,
                                           std::string_view command)
{
    const auto decoded = wire::try_decode<records_command>(command);
    if (!decoded) {
        index_ = index;
        return {.status = change_status::invalid, .index = index, .detail = "unreadable command"};
    }
    return apply(index, wall_ms, *decoded);
}

change_result records_state::apply_change(std::uint64_t index, std::int64_t wall_ms,
                                          const record_change& change)
{
    const bool is_resend = results_.contains(change.change_id);
    change_result out = preview(change);
    if (is_resend) {
        return out;
    }
    out.index = index;
    if (out.status == change_status::accepted) {
        stored_record record{change.kind,      change.name,     change.number, index,
                             change.change_id, change.document, wall_ms};
        out.number = change.number;
        out.winner = change.change_id;
        index_parsed(record);
        records_[key_of(change.kind, change.name)] = std::move(record);
    }
    store_result(change.change_id, {digest_of(change), out});
    return out;
}

void records_state::apply_progress(std::int64_t wall_ms, rollout_progress progress)
{
    // Ignores a decision about an older revision: the operator has amended the record since.
    if (progress.number != number_of(record_kind::rollout, progress.rollout)) {
        return;
    }
    auto& known = progress_[progress.rollout];
    // A halt is final for this revision of the record. A completed roll-out can still be halted if
    // the new version degrades later, but it never returns to running.
    const bool same_revision = known.number == progress.number;
    const bool returns_to_running =
        known.state == rollout_state::completed && progress.state == rollout_state::running;
    if (same_revision && (known.state == rollout_state::halted || returns_to_running)) {
        return;
    }
    progress.wall_ms = wall_ms;
    known = std::move(progress);
}

void records_state::store_result(const std::string& change_id, processed_change seen)
{
    results_.emplace(change_id, std::move(seen));
    result_order_.push_back(change_id);
    if (result_order_.size() > max_stored_results) {
        results_.erase(result_order_.front());
        result_order_.pop_front();
    }
}

void records_state::index_parsed(const stored_record& record)
{
    // The leader validated the document before appending it to the log. A document that this
    // release cannot parse is skipped, so that requests which it would allow are refused.
    auto parsed = value_or_handle<record_error>(
        [&]() -> result<std::optional<parsed_record>> {
            BOOST_LEAF_AUTO(it, parse_record(record.document, record.change_id));
            return std::optional<parsed_record>{std::move(it)};
        },
        [](const record_error&) { return std::optional<parsed_record>{}; });
    if (!parsed) {
        return;
    }
    struct index_visitor {
        records_state& self;
        void operator()(account_record& it) const
        {
            std::erase_if(self.account_by_hash_,
                          [&](const auto& entry) { return entry.second == it.name; });
            for (const auto& hash : it.key_sha256) {
                self.account_by_hash_[hash] = it.name;
            }
            self.accounts_[it.name] = std::move(it);
        }
        void operator()(model_record& it) const { self.models_[it.name] = std::move(it); }
        void operator()(service_record& it) const { self.services_[it.name] = std::move(it); }
        void operator()(rollout_record& it) const { self.rollouts_[it.name] = std::move(it); }
        void operator()(withdrawal_record& it) const { self.withdrawals_[it.name] = std::move(it); }
        void operator()(cascade_record& it) const { self.cascades_[it.name] = std::move(it); }
    };
    std::visit(index_visitor{*this}, parsed->body);
}

std::string records_state::save() const
{
    saved_state out;
    out.index = index_;
    out.records = list();
    for (const auto& id : result_order_) {
        const auto& it = results_.at(id);
        out.seen.push_back({id, it.digest, it.result});
    }
    for (const auto& [name, it] : progress_) {
        out.progress.push_back(it);
    }
    return wire::encode(out);
}

bool records_state::load(std::string_view bytes)
{
    saved_state saved;
    if (!bytes.empty()) {
        auto decoded = wire::try_decode<saved_state>(bytes);
        if (!decoded || decoded->format > saved_format) {
            return false;
        }
        saved = std::move(*decoded);
    }
    *this = records_state{};
    index_ = saved.index;
    for (auto& it : saved.records) {
        index_parsed(it);
        records_[key_of(it.kind, it.name)] = std::move(it);
    }
    for (auto& it : saved.seen) {
        store_result(it.change_id, {it.digest, it.result});
    }
    for (auto& it : saved.progress) {
        progress_[it.rollout] = std::move(it);
    }
    return true;
}

std::vector<stored_record> records_state::list() const
{
    std::vector<stored_record> out;
    for (const auto& [key, it] : records_) {
        out.push_back(it);
    }
    return out;
}

const account_record* records_state::account_by_key_hash(std::string_view sha256) const
{
    const auto it = account_by_hash_.find(std::string{sha256});
    return it == account_by_hash_.end() ? nullptr : account(it->second);
}

const account_record* records_state::account(std::string_view name) const
{
    const auto it = accounts_.find(name);
    return it == accounts_.end() || !it->second.enabled ? nullptr : &it->second;
}

const model_record* records_state::model(std::string_view name) const
{
    const auto it = models_.find(std::string{name});
    return it == models_.end() ? nullptr : &it->second;
}

const service_record* records_state::service(std::string_view name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
}

const cascade_record* records_state::cascade(std::string_view name) const
{
    const auto it = cascades_.find(name);
    return it == cascades_.end() ? nullptr : &it->second;
}

const version_entry* records_state::version(const model_version& mv) const
{
    const auto* record = model(mv.model);
    if (record == nullptr) {
        return nullptr;
    }
    for (const auto& it : record->versions) {
        if (it.version == mv.version) {
            return &it;
        }
    }
    return nullptr;
}

bool records_state::withdrawn(const model_version& mv) const
{
    for (const auto& [name, it] : withdrawals_) {
        if (it.active && it.model == mv.model && it.version == mv.version) {
            return true;
        }
    }
    for (const auto& [name, it] : rollouts_) {
        const auto* progress = progress_of(name);
        if (progress != nullptr && progress->state == rollout_state::halted &&
            it.withdraw_when_bad && it.model == mv.model && it.to == mv.version) {
            return true;
        }
    }
    return false;
}

verdict records_state::check(std::string_view account_name, const model_version& mv) const
{
    const auto* found_account = account(account_name);
    if (found_account == nullptr) {
        return verdict::unknown_account;
    }
    const auto allows = [&](const model_permission& it) {
        return it.model == mv.model &&
               (it.versions.empty() ||
                std::find(it.versions.begin(), it.versions.end(), mv.version) != it.versions.end());
    };
    if (std::none_of(found_account->allow.begin(), found_account->allow.end(), allows)) {
        return verdict::not_allowed;
    }
    if (version(mv) == nullptr) {
        return verdict::unknown_version;
    }
    return withdrawn(mv) ? verdict::withdrawn : verdict::allowed;
}

verdict records_state::check_service(std::string_view account_name, std::string_view name) const
{
    const auto* found_account = account(account_name);
    if (found_account == nullptr) {
        return verdict::unknown_account;
    }
    if (std::find(found_account->services.begin(), found_account->services.end(), name) ==
        found_account->services.end()) {
        return verdict::not_allowed;
    }
    return service(name) == nullptr ? verdict::unknown_version : verdict::allowed;
}

const rollout_record* records_state::rollout_of(std::string_view model_name) const
{
    const rollout_record* newest = nullptr;
    std::uint64_t newest_index = 0;
    for (const auto& [name, it] : rollouts_) {
        const auto stored = records_.find(key_of(name_of(record_kind::rollout), name));
        if (it.model == model_name && stored != records_.end() &&
            stored->second.index >= newest_index) {
            newest = &it;
            newest_index = stored->second.index;
        }
    }
    return newest;
}

const rollout_progress* records_state::progress_of(std::string_view rollout) const
{
    const auto it = progress_.find(std::string{rollout});
    const bool current =
        it != progress_.end() && it->second.number == number_of(record_kind::rollout, rollout);
    return current ? &it->second : nullptr;
}

std::uint64_t records_state::number_of(record_kind kind, std::string_view name) const
{
    const auto it = records_.find(key_of(name_of(kind), name));
    return it == records_.end() ? 0 : it->second.number;
}

std::string records_state::current_version(std::string_view model_name) const
{
    const auto* record = model(model_name);
    if (record == nullptr) {
        return {};
    }
    if (const auto* rollout = rollout_of(model_name); rollout != nullptr) {
        const auto* progress = progress_of(rollout->name);
        const bool done = progress != nullptr && progress->state == rollout_state::completed;
        return done ? rollout->to : rollout->from;
    }
    return record->default_version;
}

} // namespace hickorypost::records
