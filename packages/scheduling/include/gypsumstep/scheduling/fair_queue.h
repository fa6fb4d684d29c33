/// \file
/// A queue that is fair between accounts by the slot time that their items use.
#pragma once

#include "gypsumstep/base/time.h"

#include <boost/intrusive/set.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace gypsumstep::scheduling {

namespace detail {

struct arrival_tag;
struct active_tag;
struct account_state;

/// Place of an item among those of its account.
struct arrival_order {
    time_point arrived{};
    std::uint64_t sequence{0};

    friend auto operator<=>(const arrival_order&, const arrival_order&) = default;
};

} // namespace detail

/// The part of an item that the queue orders by. Queued types derive from it. An item that is
/// queued must not be changed.
struct fair_item : boost::intrusive::set_base_hook<boost::intrusive::tag<detail::arrival_tag>> {
    time_point arrived{};      ///< items of one account are served in this order
    bool restricted{false};    ///< competes only with other restricted items
    std::uint64_t sequence{0}; ///< set by the queue: order of items that arrived at the same time
    detail::account_state* account_queue{nullptr}; ///< set by the queue while the item waits
};

namespace detail {

struct by_arrival {
    using type = arrival_order;
    type operator()(const fair_item& item) const { return {item.arrived, item.sequence}; }
};

/// How many items start for each one of an account that waits without a break.
struct turn_estimate {
    std::uint64_t last{0}; ///< number of starts when the account last started an item
    double interval{0.0};  ///< mean number of starts from one of its own to the next; 0 if unknown

    /// Divisor of the moving mean; it follows a change within some ten turns.
    static constexpr double smoothing = 8.0;

    void on_start(std::uint64_t starts)
    {
        const auto sample = static_cast<double>(starts - last);
        interval += interval == 0.0 ? sample : (sample - interval) / smoothing;
        last = starts;
    }
};

/// The waiting items of one account, and the slot time that it used.
struct account_state : boost::intrusive::set_base_hook<boost::intrusive::tag<active_tag>> {
    boost::intrusive::set<fair_item,
                          boost::intrusive::base_hook<
                              boost::intrusive::set_base_hook<boost::intrusive::tag<arrival_tag>>>,
                          boost::intrusive::key_of_value<by_arrival>>
        waiting;
    std::size_t restricted{0};      ///< number of waiting items that are restricted
    duration used{0};               ///< slot time charged, on the scale of the queue's virtual time
    turn_estimate turns;            ///< while items wait
    turn_estimate restricted_turns; ///< while restricted items wait

    [[nodiscard]] std::size_t count(bool only_restricted) const
    {
        return only_restricted ? restricted : waiting.size();
    }
};

struct by_use {
    using type = duration;
    type operator()(const account_state& state) const { return state.used; }
};

} // namespace detail

/// Orders items by start-time fair queueing: the account that used the least slot time is served
/// first, and items of one account by arrival. The cost of an item is known only when it has
/// finished, so an account is charged an estimate when an item starts, and the difference later.
///
/// An account that had no waiting items starts at the virtual time, which is the use of the
/// account served last: it has no claim for the time in which it did not want to be served, nor
/// is slot time held against it that nobody else wanted. Items may be passed over because no
/// server can run them; their account then catches up by a bounded slot time.
///
/// Does not own its items, which must be removed before they are destroyed. The cost of push(),
/// remove() and start() grows with the logarithm of the accounts and of one account's items.
template <class Item, class Key>
class fair_queue {
public:
    fair_queue() = default;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    ~fair_queue() { clear(); }

    /// Adds an item to those of its account, at its place by arrival.
    void push(Item& added, const Key& account);

    /// Removes a waiting item.
    void remove(Item& removed);

    /// Removes a waiting item and charges its account an estimate of its cost.
    void start(Item& started, duration estimate);

    /// Reports that an item of another queue started on the same slots, which counts for how often
    /// the accounts of this queue get a turn.
    void on_other_start(bool restricted)
    {
        ++m_starts;
        m_restricted_starts += restricted ? 1 : 0;
    }

    /// Charges an account for slot time; negative if an earlier charge was too high. An account is
    /// charged at most \p max_debt beyond the virtual time, which bounds how long it waits for
    /// others after one expensive item.
    void charge(const Key& account, duration amount, duration max_debt);

    /// Returns the first item of the account that used least; nullptr if no item waits.
    [[nodiscard]] Item* first();
    [[nodiscard]] const Item* first() const;

    /// Number of waiting items, or of those that are restricted.
    [[nodiscard]] std::size_t size(bool only_restricted = false) const
    {
        return only_restricted ? m_restricted : m_size;
    }

    [[nodiscard]] bool empty() const { return m_size == 0; }

    /// Number of waiting items of one account.
    [[nodiscard]] std::size_t size_of(const Key& account) const;

    /// Number of accounts with waiting items.
    [[nodiscard]] std::size_t waiting_accounts() const { return m_active.size(); }

    /// Number of accounts with waiting items, debt, or not dropped yet.
    [[nodiscard]] std::size_t known_accounts() const { return m_accounts.size(); }

    /// Returns how many items start before a new one of the account, if each costs \p cost. A new
    /// item that is restricted waits only behind others that are. An account whose items already
    /// wait is expected to be served as often as recently, since items of other accounts that
    /// arrive later also go before it. Takes time in proportion to the number of accounts with
    /// waiting items.
    [[nodiscard]] std::size_t count_ahead(const Key& account, bool restricted, duration cost) const;

    /// Unlinks all waiting items.
    void clear();

    /// Visits the waiting items in order. Items may be added, removed and started meanwhile; an
    /// item that is added is not necessarily visited.
    class cursor {
    public:
        /// \param step slot time that a visited item counts against its account. With 0, the
        ///     order is that in which items are to be tried, where one that does not start costs
        ///     its account nothing; with the expected cost it is that in which they are expected
        ///     to start.
        cursor(fair_queue& queue, duration step);
        ~cursor() { --m_queue.m_cursors; }
        cursor(const cursor&) = delete;
        cursor& operator=(const cursor&) = delete;

        /// Returns the next item, or nullptr if all were visited.
        [[nodiscard]] Item* next();

        /// Returns how many items are expected to start before the one that next() returned last,
        /// going by how often its account was served recently. Counts only restricted ones if the
        /// item is restricted.
        [[nodiscard]] std::size_t starts_before_last() const { return m_starts_before_last; }

    private:
        struct position {
            duration used{0}; ///< use of the account when its next item is visited
            time_point arrived{};
            detail::account_state* state{nullptr};
            detail::arrival_order after{}; ///< last visited item
            bool begun{false};             ///< an item was visited
            fair_item* next{nullptr};      ///< item to visit next, as of \c version
            std::uint64_t version{0};      ///< m_version when \c next was looked up
            duration added{0};             ///< sum of the steps
            std::size_t visited{0};
            std::size_t visited_restricted{0};

            [[nodiscard]] bool operator>(const position& other) const
            {
                return std::tie(used, arrived) > std::tie(other.used, other.arrived);
            }
        };

        [[nodiscard]] fair_item* next_of(position& place) const;
        bool update(position& place) const;
        void push(position place);

        fair_queue& m_queue;
        duration m_step;
        std::vector<position> m_heap; ///< the accounts, the one to visit next first
        std::size_t m_starts_before_last{0};
    };

private:
    using account_state = detail::account_state;
    using active_set =
        boost::intrusive::multiset<account_state,
                                   boost::intrusive::base_hook<boost::intrusive::set_base_hook<
                                       boost::intrusive::tag<detail::active_tag>>>,
                                   boost::intrusive::key_of_value<detail::by_use>>;

    /// Slot time by which an account that was passed over may catch up: some statements, which is
    /// what it misses while its server connection is opened.
    static constexpr duration max_credit = 100ms;

    /// Number of accounts from which on those without items and debt are dropped.
    static constexpr std::size_t min_prune_size = 64;

    [[nodiscard]] duration use_of(const account_state& state) const
    {
        return std::max(state.used, m_virtual_time - max_credit);
    }
    account_state& state_of(const Key& account);
    void set_use(account_state& state, duration used);
    void prune();

    std::map<Key, account_state, std::less<>> m_accounts;
    active_set m_active; ///< accounts with waiting items
    std::uint64_t m_starts{0};
    std::uint64_t m_restricted_starts{0};
    duration m_virtual_time{0};
    std::size_t m_size{0};
    std::size_t m_restricted{0};
    std::uint64_t m_next_sequence{1};
    std::uint64_t m_version{1}; ///< grows when an item is added or removed
    std::size_t m_prune_at{min_prune_size};
    std::uint32_t m_cursors{0}; ///< no account is dropped while a cursor refers to it
};

template <class Item, class Key>
void fair_queue<Item, Key>::push(Item& added, const Key& account)
{
    account_state& state = state_of(account);
    ++m_version;
    added.sequence = m_next_sequence++;
    added.account_queue = &state;
    if (state.waiting.empty()) {
        state.used = std::max(state.used, m_virtual_time);
        state.turns = {m_starts, 0.0};
        m_active.insert(state);
    }
    if (added.restricted && state.restricted == 0) {
        state.restricted_turns = {m_restricted_starts, 0.0};
    }
    state.waiting.insert(added);
    state.restricted += added.restricted ? 1 : 0;
    m_restricted += added.restricted ? 1 : 0;
    ++m_size;
}

template <class Item, class Key>
void fair_queue<Item, Key>::remove(Item& removed)
{
    ++m_version;
    account_state& state = *std::exchange(removed.account_queue, nullptr);
    state.waiting.erase(state.waiting.iterator_to(removed));
    state.restricted -= removed.restricted ? 1 : 0;
    m_restricted -= removed.restricted ? 1 : 0;
    --m_size;
    if (state.waiting.empty()) {
        m_active.erase(m_active.iterator_to(state));
    }
}

template <class Item, class Key>
void fair_queue<Item, Key>::start(Item& started, duration estimate)
{
    account_state& state = *started.account_queue;
    const duration before = use_of(state);
    m_virtual_time = std::max(m_virtual_time, before);
    state.turns.on_start(++m_starts);
    if (started.restricted) {
        state.restricted_turns.on_start(++m_restricted_starts);
    }
    remove(started);
    set_use(state, before + estimate);
}

template <class Item, class Key>
void fair_queue<Item, Key>::charge(const Key& account, duration amount, duration max_debt)
{
    account_state& state = state_of(account);
    const duration before =
        state.waiting.empty() ? std::max(state.used, m_virtual_time) : use_of(state);
    set_use(state, std::min(before + amount, std::max(before, m_virtual_time + max_debt)));
}

template <class Item, class Key>
Item* fair_queue<Item, Key>::first()
{
    return m_active.empty() ? nullptr : static_cast<Item*>(&*m_active.begin()->waiting.begin());
}

template <class Item, class Key>
const Item* fair_queue<Item, Key>::first() const
{
    return m_active.empty() ? nullptr
                            : static_cast<const Item*>(&*m_active.begin()->waiting.begin());
}

template <class Item, class Key>
std::size_t fair_queue<Item, Key>::size_of(const Key& account) const
{
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : found->second.waiting.size();
}

template <class Item, class Key>
std::size_t fair_queue<Item, Key>::count_ahead(const Key& account, bool restricted,
                                               duration cost) const
{
    const auto found = m_accounts.find(account);
    const account_state* const own = found == m_accounts.end() ? nullptr : &found->second;
    const std::size_t own_waiting = own == nullptr ? 0 : own->count(restricted);
    duration use = m_virtual_time;
    if (own != nullptr) {
        use = own->waiting.empty() ? std::max(own->used, m_virtual_time) : use_of(*own);
    }
    const duration item_cost = std::max(cost, duration{1});
    use += item_cost * static_cast<duration::rep>(own_waiting);
    std::size_t ahead = own_waiting;
    for (const account_state& other : m_active) {
        if (&other == own || use_of(other) > use) {
            continue;
        }
        const auto turns = static_cast<std::size_t>((use - use_of(other)) / item_cost) + 1;
        ahead += std::min(turns, other.count(restricted));
    }
    if (own_waiting > 0) {
        const double interval = (restricted ? own->restricted_turns : own->turns).interval;
        ahead =
            std::max(ahead, static_cast<std::size_t>(static_cast<double>(own_waiting) * interval));
    }
    return ahead;
}

template <class Item, class Key>
void fair_queue<Item, Key>::clear()
{
    for (auto& [key, state] : m_accounts) {
        while (!state.waiting.empty()) {
            remove(static_cast<Item&>(*state.waiting.begin()));
        }
    }
}

template <class Item, class Key>
detail::account_state& fair_queue<Item, Key>::state_of(const Key& account)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end()) {
        return found->second;
    }
    if (m_accounts.size() >= m_prune_at && m_cursors == 0) {
        prune();
    }
    return m_accounts[account];
}

template <class Item, class Key>
void fair_queue<Item, Key>::set_use(account_state& state, duration used)
{
    if (state.waiting.empty()) {
        state.used = used;
        return;
    }
    m_active.erase(m_active.iterator_to(state));
    state.used = used;
    m_active.insert(state);
}

template <class Item, class Key>
void fair_queue<Item, Key>::prune()
{
    std::erase_if(m_accounts, [this](const auto& entry) {
        return entry.second.waiting.empty() && entry.second.used <= m_virtual_time;
    });
    m_prune_at = std::max(min_prune_size, 2 * m_accounts.size());
}

template <class Item, class Key>
fair_queue<Item, Key>::cursor::cursor(fair_queue& queue, duration step)
    : m_queue{queue}, m_step{step}
{
    ++m_queue.m_cursors;
    m_heap.reserve(m_queue.m_active.size());
    for (account_state& state : m_queue.m_active) {
        position place;
        place.state = &state;
        push(place);
    }
}

template <class Item, class Key>
Item* fair_queue<Item, Key>::cursor::next()
{
    while (!m_heap.empty()) {
        std::pop_heap(m_heap.begin(), m_heap.end(), std::greater<>{});
        position place = m_heap.back();
        m_heap.pop_back();
        // What happened since the account's place was computed may have moved it back.
        if (update(place)) {
            push(place);
            continue;
        }
        fair_item* const item = next_of(place);
        if (item == nullptr) {
            continue;
        }
        const auto following = std::next(place.state->waiting.iterator_to(*item));
        place.next = following == place.state->waiting.end() ? nullptr : &*following;
        place.after = detail::by_arrival{}(*item);
        place.begun = true;
        place.added += m_step;
        const auto own =
            static_cast<double>(item->restricted ? place.visited_restricted : place.visited);
        const detail::turn_estimate& turns =
            item->restricted ? place.state->restricted_turns : place.state->turns;
        m_starts_before_last = static_cast<std::size_t>(own * turns.interval);
        ++place.visited;
        place.visited_restricted += item->restricted ? 1 : 0;
        push(place);
        return static_cast<Item*>(item);
    }
    return nullptr;
}

template <class Item, class Key>
fair_item* fair_queue<Item, Key>::cursor::next_of(position& place) const
{
    if (place.version != m_queue.m_version) {
        auto& waiting = place.state->waiting;
        const auto found = place.begun ? waiting.upper_bound(place.after) : waiting.begin();
        place.next = found == waiting.end() ? nullptr : &*found;
        place.version = m_queue.m_version;
    }
    return place.next;
}

template <class Item, class Key>
bool fair_queue<Item, Key>::cursor::update(position& place) const
{
    const fair_item* const item = next_of(place);
    if (item == nullptr) {
        return false;
    }
    const position before = place;
    place.used = m_queue.use_of(*place.state) + place.added;
    place.arrived = item->arrived;
    return place > before;
}

template <class Item, class Key>
void fair_queue<Item, Key>::cursor::push(position place)
{
    if (next_of(place) == nullptr) {
        return;
    }
    update(place);
    m_heap.push_back(place);
    std::push_heap(m_heap.begin(), m_heap.end(), std::greater<>{});
}

} // namespace gypsumstep::scheduling
