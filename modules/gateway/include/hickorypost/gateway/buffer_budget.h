#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace hickorypost::gateway {

/// Bound on the memory that a host uses to buffer data of one kind. Each holder accounts for its
/// part with a `buffer_share`. Performs no allocation itself.
class buffer_budget {
public:
    /// `limit` in bytes; 0: none.
    explicit buffer_budget(std::size_t limit) noexcept : limit_{limit}, reserve_{limit / 4} {}
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }
    [[nodiscard]] std::size_t used() const noexcept { return used_; }
    /// Whether further `bytes` fit.
    [[nodiscard]] bool has_room(std::size_t bytes) const noexcept
    {
        return limit_ == 0 || (used_ < limit_ && bytes <= limit_ - used_);
    }
    /// Whether further `bytes` fit into the limit and the reserve behind it, a quarter of the first
    /// limit. The reserve is for what should not be refused because others use much.
    [[nodiscard]] bool has_reserve(std::size_t bytes) const noexcept
    {
        return limit_ == 0 || used_ + bytes <= limit_ + reserve_;
    }
    /// Replaces the limit of a budget that has one. `bytes` is not 0.
    void set_limit(std::size_t bytes) noexcept { limit_ = bytes; }
    /// Bytes that one holder may use, between `least` and `most`. Falls with the bytes that are
    /// free, so that holders which do not release theirs leave room for others.
    [[nodiscard]] std::size_t allowance(std::size_t least, std::size_t most) const noexcept;

private:
    friend class buffer_share;

    std::size_t limit_;
    std::size_t reserve_;
    std::size_t used_ = 0;
};

/// The part of a budget that one holder uses; returned when it is destroyed.
class buffer_share {
public:
    explicit buffer_share(std::shared_ptr<buffer_budget> budget) noexcept
        : budget_{std::move(budget)}
    {
    }
    ~buffer_share() { set(0); }
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    /// Replaces the bytes in use. May exceed the limit, as they are held already.
    void set(std::size_t bytes) noexcept
    {
        budget_->used_ = budget_->used_ - bytes_ + bytes;
        bytes_ = bytes;
    }
    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    std::shared_ptr<buffer_budget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace hickorypost::gateway
