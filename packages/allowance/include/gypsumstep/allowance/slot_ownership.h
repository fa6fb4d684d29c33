/// \file
/// Decides which slots of its failure domain this daemon holds.
#pragma once

#include "gypsumstep/allowance/messages.h"
#include "gypsumstep/homes/home_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::allowance {

/// Holds a slot only after the other daemons of the domain know of this one. Lists of daemons
/// differ for a while, mostly after starts; without this, two daemons would grant the same part.
///
/// The ranks of two daemons do not depend on the list. So a daemon that hears of a higher one
/// gives its slots up, and one that wants a slot first tells all others that it runs. It wants one
/// only while it is listed itself: of two daemons that read their own announcements in the list,
/// the one that was announced later also read the other's. An announcement may have expired since,
/// so the answers also name a higher daemon that their sender knows.
class slot_ownership {
public:
    /// \param self this daemon
    /// \param slots number of slots of the domain
    slot_ownership(homes::daemon_entry self, std::uint32_t slots);

    /// Replaces the listed daemons; those of other failure domains are ignored.
    void set_daemons(const std::vector<homes::daemon_entry>& daemons, time_point now);

    /// Handles a message of another daemon. It must be answered unless it is an answer.
    void on_presence(const presence& content, time_point now);

    /// The daemons that rank first for a slot, before another daemon, without this one.
    [[nodiscard]] std::vector<known_daemon> higher_than(const presence& other,
                                                        time_point now) const;

    /// Must be called at next_tick().
    void on_tick(time_point now);
    [[nodiscard]] time_point next_tick() const { return m_next_round; }

    /// Returns the daemons that are to be told that this one runs, and clears them.
    [[nodiscard]] std::vector<std::string> take_recipients();

    /// Number of slots held, a slot that another daemon might hold as well counting half.
    [[nodiscard]] double held_slots(time_point now);

private:
    struct member {
        std::uint32_t capacity{0};
        bool listed{false};
        bool heard{false};       ///< since this daemon's claim began
        time_point asked_at{};   ///< when it was first asked; valid unless heard
        time_point last_heard{}; ///< valid if ever_heard
        bool ever_heard{false};
        time_point unlisted_at{}; ///< valid unless listed

        [[nodiscard]] bool is_silent(time_point now) const;
        [[nodiscard]] bool was_heard_lately(time_point now) const;
    };

    struct hint {
        std::uint32_t capacity{0};
        time_point heard_at{};
    };

    [[nodiscard]] bool counts(const member& other, time_point now) const;
    [[nodiscard]] std::uint32_t best_slots(time_point now) const;
    void update_claim(time_point now);
    void send_round(time_point now);

    homes::daemon_entry m_self;
    std::uint32_t m_slots;
    std::map<std::string, member, std::less<>> m_members; ///< without this daemon
    std::map<std::string, hint, std::less<>> m_hints;     ///< daemons that others know
    std::uint32_t m_claimed{0}; ///< slots that this daemon ranks first for
    time_point m_claimed_at{};
    bool m_established{false}; ///< nobody's first answer to the claim is awaited any more
    bool m_is_listed{false};
    time_point m_next_round{time_point::max()};
    std::vector<std::string> m_recipients;
};

} // namespace gypsumstep::allowance
