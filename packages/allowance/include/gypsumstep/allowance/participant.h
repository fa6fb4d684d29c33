/// \file
/// One daemon's part in the limits of accounts: as entry daemon, and as keeper if it holds a slot.
#pragma once

#include "gypsumstep/allowance/keeper.h"
#include "gypsumstep/allowance/keeper_slots.h"
#include "gypsumstep/allowance/slot_ownership.h"
#include "gypsumstep/allowance/stock.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::allowance {

/// A message for another daemon.
struct outgoing_message {
    std::string daemon;
    message content;
};

/// Joins stock, keeper and slots. Without limits it sends nothing. After each call, the messages
/// and decisions are to be taken out.
class participant {
public:
    /// \param self this daemon
    /// \param regions region of each failure domain, as in the settings
    /// \param first_number see \c stock
    participant(const terms& bound, const homes::daemon_entry& self,
                std::map<std::string, std::string, std::less<>> regions,
                std::uint64_t first_number);

    /// Replaces the limits of the accounts; those with a rate of 0 have none.
    void set_limits(account_limits limits, time_point now);

    /// Replaces the listed daemons.
    void set_daemons(const std::vector<homes::daemon_entry>& daemons, time_point now);

    void on_message(const message& content, time_point now);

    /// Must be called at next_tick(), which each call may change.
    void on_tick(time_point now);
    [[nodiscard]] time_point next_tick() const;

    [[nodiscard]] bool is_limited(std::string_view account) const
    {
        return m_stock.is_limited(account);
    }

    /// Starts an operation: returns true if it may run now. Otherwise a decision follows, unless
    /// it is cancelled.
    [[nodiscard]] bool start(std::string_view account, operation_id operation, time_point now);

    void cancel(operation_id operation) { m_stock.cancel(operation); }

    [[nodiscard]] std::vector<outgoing_message> take_messages();
    [[nodiscard]] std::vector<decision> take_decisions() { return m_stock.take_decisions(); }

    [[nodiscard]] std::size_t waiting() const { return m_stock.waiting(); }

    /// The part of each limit that this daemon grants, from 0 to 1.
    [[nodiscard]] double part() const { return m_keeper.part(); }

private:
    void handle(const token_request& request, time_point now);
    void handle(const token_answer& answer, time_point now);
    void handle(const presence& content, time_point now);
    void update_part(time_point now);
    void send_requests(time_point now);
    [[nodiscard]] presence own_presence(bool is_answer) const;

    homes::daemon_entry m_self;
    keeper_slots m_slots;
    slot_ownership m_ownership;
    keeper m_keeper;
    stock m_stock;
    std::vector<homes::daemon_entry> m_daemons;
    bool m_has_daemons{false};
    bool m_active{false}; ///< an account has a limit
    std::vector<outgoing_message> m_messages;
};

} // namespace gypsumstep::allowance
