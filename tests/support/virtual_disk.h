#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/storage/file_system.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace hickorypost::testing {

/// A folder in memory that forgets, on `crash`, whatever was not synced: file tails, and names that
/// were created, renamed or removed since the folder's last sync. Any operation can be made to
/// fail.
class virtual_disk final : public storage::file_system {
public:
    /// Chooses how much of an unsynced tail happens to survive a crash.
    explicit virtual_disk(std::uint64_t seed = 1) : seed_{seed} {}

    /// The operation with this number (counted from 0) and all after it fail, until `heal`.
    void fail_from(std::size_t operation, storage::storage_fault fault)
    {
        fail_at_ = operation;
        fault_ = fault;
    }
    void heal() { fail_at_.reset(); }
    [[nodiscard]] std::size_t operations() const noexcept { return operations_; }

    void crash()
    {
        heal();
        names_ = durable_names_;
        for (auto& [name, it] : names_) {
            const std::size_t unsynced = it->content.size() - it->synced;
            const std::size_t kept = unsynced == 0 ? 0 : next_random() % (unsynced + 1);
            it->content.resize(it->synced + kept);
            if (kept > 0 && next_random() % 2 == 0) {
                it->content.back() = static_cast<char>(it->content.back() ^ 0x5A);
            }
            it->synced = it->content.size();
        }
    }

    void wipe()
    {
        names_.clear();
        durable_names_.clear();
    }

    /// Flips a byte of a file, as a failing disk would.
    void damage(const std::string& name, std::size_t at)
    {
        names_.at(name)->content.at(at) = static_cast<char>(names_.at(name)->content.at(at) ^ 0x5A);
    }
    [[nodiscard]] std::size_t size_of(const std::string& name) const
    {
        return names_.at(name)->content.size();
    }

    result<std::unique_ptr<storage::append_file>> open_append(std::string_view name) override
    {
        BOOST_LEAF_CHECK(step(name));
        auto& it = names_[std::string{name}];
        if (!it) {
            it = std::make_shared<file_state>();
        }
        return std::unique_ptr<storage::append_file>{new open_file{*this, std::string{name}, it}};
    }
    result<std::string> read_file(std::string_view name) override
    {
        const auto it = names_.find(std::string{name});
        if (it == names_.end()) {
            return leaf::new_error(
                storage::storage_error{storage::storage_fault::io, std::string{name}, "missing"});
        }
        return it->second->content;
    }
    result<std::vector<std::string>> list() override
    {
        std::vector<std::string> out;
        for (const auto& [name, it] : names_) {
            out.push_back(name);
        }
        return out;
    }
    result<void> truncate(std::string_view name, std::uint64_t size) override
    {
        BOOST_LEAF_CHECK(step(name));
        auto& it = *names_.at(std::string{name});
        it.content.resize(size);
        it.synced = it.content.size();
        return {};
    }
    result<void> rename(std::string_view from, std::string_view to) override
    {
        BOOST_LEAF_CHECK(step(from));
        auto node = names_.extract(std::string{from});
        names_[std::string{to}] = std::move(node.mapped());
        return {};
    }
    result<void> remove(std::string_view name) override
    {
        BOOST_LEAF_CHECK(step(name));
        names_.erase(std::string{name});
        return {};
    }
    result<void> sync_folder() override
    {
        BOOST_LEAF_CHECK(step("folder"));
        durable_names_ = names_;
        return {};
    }

private:
    struct file_state {
        std::string content;
        std::size_t synced = 0;
    };

    class open_file final : public storage::append_file {
    public:
        open_file(virtual_disk& disk, std::string name, std::shared_ptr<file_state> it)
            : disk_{disk}, name_{std::move(name)}, file_{std::move(it)}
        {
        }
        result<void> append(std::string_view bytes) override
        {
            if (disk_.failing()) {
                // A short write: part of the bytes made it.
                file_->content.append(bytes.substr(0, bytes.size() / 2));
            }
            BOOST_LEAF_CHECK(disk_.step(name_));
            file_->content.append(bytes);
            return {};
        }
        result<void> sync() override
        {
            BOOST_LEAF_CHECK(disk_.step(name_));
            file_->synced = file_->content.size();
            return {};
        }

    private:
        virtual_disk& disk_;
        std::string name_;
        std::shared_ptr<file_state> file_;
    };

    [[nodiscard]] bool failing() const { return fail_at_ && operations_ >= *fail_at_; }
    result<void> step(std::string_view name)
    {
        const bool fails = failing();
        ++operations_;
        if (fails) {
            return leaf::new_error(storage::storage_error{fault_, std::string{name}, "injected"});
        }
        return {};
    }
    std::uint64_t next_random()
    {
        seed_ = hash_bytes("disk", seed_);
        return seed_;
    }

    std::uint64_t seed_;
    std::map<std::string, std::shared_ptr<file_state>> names_;
    std::map<std::string, std::shared_ptr<file_state>> durable_names_;
    std::size_t operations_ = 0;
    std::optional<std::size_t> fail_at_;
    storage::storage_fault fault_ = storage::storage_fault::io;
};

} // namespace hickorypost::testing
