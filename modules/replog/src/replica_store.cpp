#include "hickorypost/replog/replica_store.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>

namespace hickorypost::replog {

namespace {

struct identity_file {
    std::uint64_t disk = 0;
    std::optional<std::vector<node_id>> first_start_seeds;
};

struct snapshot_file {
    std::uint64_t checksum = 0;
    std::string body; ///< encoded `snapshot`
};

/// One journal record: the changes of one batch.
struct journal_item {
    std::optional<hard_state> hard;
    bool reset_log = false;
    std::vector<entry> entries;
};

result<bool> exists(storage::file_system& fs, std::string_view name)
{
    BOOST_LEAF_AUTO(names, fs.list());
    return std::find(names.begin(), names.end(), name) != names.end();
}

leaf::error_id damaged(const std::string& name, std::string detail)
{
    return leaf::new_error(
        storage::storage_error{storage::storage_fault::damaged, name, std::move(detail)});
}

} // namespace

replica_store::replica_store(storage::file_system& fs, std::string prefix)
    : fs_{&fs}, prefix_{std::move(prefix)}
{
}

result<std::unique_ptr<replica_store>>
replica_store::open(storage::file_system& fs, std::string prefix, node_id self,
                    const random_fn& random, std::optional<std::vector<node_id>> first_start_seeds)
{
    std::unique_ptr<replica_store> out{new replica_store{fs, std::move(prefix)}};
    BOOST_LEAF_CHECK(out->load_identity(std::move(self), random, std::move(first_start_seeds)));
    BOOST_LEAF_CHECK(out->load_snapshot());
    BOOST_LEAF_CHECK(out->load_journal());
    out->recovered_.hard = out->hard_state_;
    return out;
}

result<void> replica_store::load_identity(node_id self, const random_fn& random,
                                          std::optional<std::vector<node_id>> first_start_seeds)
{
    const std::string name = prefix_ + "identity";
    identity_file file;
    BOOST_LEAF_AUTO(known, exists(*fs_, name));
    if (known) {
        BOOST_LEAF_AUTO(bytes, fs_->read_file(name));
        const auto decoded = wire::try_decode<identity_file>(bytes);
        if (!decoded) {
            return damaged(name, "identity file cannot be decoded");
        }
        file = *decoded;
    } else {
        file.disk = random();
    }
    const bool joins_first_start = !file.first_start_seeds && first_start_seeds;
    if (joins_first_start) {
        file.first_start_seeds = std::move(first_start_seeds);
    }
    if (!known || joins_first_start) {
        BOOST_LEAF_CHECK(storage::replace_file(*fs_, name, wire::encode(file)));
    }
    recovered_.self = {std::move(self), file.disk};
    recovered_.first_start_seeds = std::move(file.first_start_seeds);
    return {};
}

result<void> replica_store::load_snapshot()
{
    const std::string name = prefix_ + "snapshot";
    BOOST_LEAF_AUTO(known, exists(*fs_, name));
    if (!known) {
        return {};
    }
    BOOST_LEAF_AUTO(bytes, fs_->read_file(name));
    const auto file = wire::try_decode<snapshot_file>(bytes);
    if (!file || hash_bytes(file->body) != file->checksum) {
        return damaged(name, "snapshot checksum does not match");
    }
    recovered_.base = wire::try_decode<snapshot>(file->body);
    if (!recovered_.base) {
        return damaged(name, "snapshot cannot be decoded");
    }
    return {};
}

result<void> replica_store::load_journal()
{
    storage::journal_options options;
    options.prefix = prefix_ + "log-";
    auto opened = storage::journal::open(
        *fs_, std::move(options),
        [this] {
            return wire::encode(journal_item{hard_state_, false, {}});
        },
        [this](std::uint64_t, std::string_view payload) { replay(payload); });
    BOOST_LEAF_AUTO(journal, std::move(opened));
    journal_.emplace(std::move(journal));
    return {};
}

void replica_store::replay(std::string_view payload)
{
    auto item = wire::try_decode<journal_item>(payload);
    if (!item) {
        // The journal has verified the checksum, so this is a kind of record without entries that a
        // later release wrote.
        return;
    }
    if (item->hard) {
        hard_state_ = *item->hard;
    }
    auto& entries = recovered_.entries;
    if (item->reset_log) {
        entries.clear();
    }
    for (auto& it : item->entries) {
        while (!entries.empty() && entries.back().index >= it.index) {
            entries.pop_back();
        }
        entries.push_back(std::move(it));
    }
}

result<void> replica_store::append(const persist_batch& batch)
{
    if (batch.base) {
        snapshot_file file;
        file.body = wire::encode(*batch.base);
        file.checksum = hash_bytes(file.body);
        BOOST_LEAF_CHECK(storage::replace_file(*fs_, prefix_ + "snapshot", wire::encode(file)));
    }
    if (batch.hard) {
        hard_state_ = *batch.hard;
    }
    if (batch.hard || batch.reset_log || !batch.entries.empty()) {
        const std::uint64_t tag = batch.entries.empty() ? 0 : batch.entries.back().index;
        const journal_item item{batch.hard, batch.reset_log, batch.entries};
        BOOST_LEAF_CHECK(journal_->append(tag, wire::encode(item)));
    }
    if (batch.base) {
        return journal_->drop_through(batch.base->index);
    }
    return {};
}

result<void> replica_store::sync()
{
    return journal_->sync();
}

} // namespace hickorypost::replog
