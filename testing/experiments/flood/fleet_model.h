/// \file
/// A model of the clients, entry daemons, homes and servers of one fleet in virtual time.
#pragma once

#include "flood/scenario.h"
#include "flood/server_model.h"

#include "gypsumstep/admission/entry_gate.h"
#include "gypsumstep/admission/retry_budget.h"
#include "gypsumstep/admission/server_queue.h"
#include "gypsumstep/base/random.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

namespace gypsumstep::flood {

/// Runs a scenario with the admission code of every daemon.
///
/// \tparam Policy the scheduling policy of the server queues
template <admission::scheduling_policy Policy>
class fleet_model {
public:
    explicit fleet_model(const scenario& parameters);

    /// Runs the whole scenario.
    [[nodiscard]] outcome run();

private:
    using server_queue = admission::basic_server_queue<Policy>;

    /// A client's request and its state.
    struct client_request {
        sample result;
        std::uint32_t entry{0}; ///< index of the entry daemon
        std::uint32_t group{0};
        client_account_id account;
        std::uint32_t attempts{0};
        time_point deadline;
        duration service_time{0};
        time_point started; ///< at its home
    };
    using request_ptr = std::shared_ptr<client_request>;

    /// A home: a daemon's queue for one server.
    struct home {
        std::uint32_t daemon{0};
        std::uint32_t server{0};
        std::uint32_t share{0}; ///< its slots; with every_daemon_connects, its connections
        bool alive{true};
        std::unique_ptr<server_queue> queue;
        std::unordered_map<std::uint64_t, request_ptr> requests; ///< by request id
    };

    /// A client account with its own random generator, so that the same requests arrive with
    /// and without a flood.
    struct client_account {
        client_account_id id;
        rank level{rank::urgent};
        bool part_of_flood{false};
        duration interval{0}; ///< mean time between requests
        random_source random;
    };

    struct entry_daemon {
        admission::entry_gate gate;
        admission::retry_budget retries;
    };

    [[nodiscard]] std::uint32_t domain_of_daemon(std::uint32_t daemon) const
    {
        return daemon / m_scenario.fleet.daemons_per_domain;
    }
    [[nodiscard]] std::uint32_t domain_of_server(std::uint32_t server) const
    {
        return server % m_scenario.fleet.domains;
    }
    [[nodiscard]] std::uint32_t slots_of(std::uint32_t server) const
    {
        return m_scenario.fleet.group_slots[server / m_scenario.fleet.domains];
    }
    [[nodiscard]] std::uint32_t primary_of(std::uint32_t group) const
    {
        return group * m_scenario.fleet.domains + group % m_scenario.fleet.domains;
    }
    [[nodiscard]] bool connects_directly() const
    {
        return m_scenario.selected_variant == variant::every_daemon_connects;
    }
    [[nodiscard]] duration delay(std::uint32_t left_domain, std::uint32_t right_domain) const
    {
        return left_domain == right_domain ? m_scenario.fleet.within_domain
                                           : m_scenario.fleet.between_domains;
    }
    [[nodiscard]] duration delay(const client_request& request, const home& destination) const
    {
        return delay(domain_of_daemon(request.entry), domain_of_daemon(destination.daemon));
    }

    void create_homes();
    void add_home(std::uint32_t daemon, std::uint32_t server, std::uint32_t share);
    client_account& add_account(rank level, bool part_of_flood, double interval);
    void start_ordinary_clients();
    void start_flood();
    void schedule_faults();
    void kill_daemon(std::uint32_t daemon);
    void schedule_arrival(client_account& account);
    void schedule_flood_arrival(client_account& account, time_point burst_start);
    void create(client_account& account);
    void send(const request_ptr& request);
    [[nodiscard]] home* choose(const client_request& request, bool& refused_early);
    [[nodiscard]] std::vector<std::size_t> candidates(const client_request& request) const;
    void receive(home& destination, const request_ptr& request);
    void start_and_expire(home& destination);
    void start(home& destination, const request_ptr& request, std::uint64_t id);
    void send_answer(home& destination, const request_ptr& request, bool ok);
    void refuse(const request_ptr& request);
    void record(const client_request& request, bool answered);
    [[nodiscard]] bool eligible(std::uint32_t server) const;
    [[nodiscard]] span_result evaluate(time_point from, time_point until) const;
    [[nodiscard]] double capacity(bool eligible_only, time_point from, time_point until) const;
    [[nodiscard]] double capacity_rate() const;

    scenario m_scenario;
    sim::event_queue m_events;
    random_source m_random;
    measurements m_measurements;
    std::vector<std::unique_ptr<server_model>> m_servers;
    std::deque<home> m_homes;
    std::vector<std::vector<std::size_t>> m_homes_of; // indexes in m_homes, by server
    std::vector<entry_daemon> m_entry_daemons;
    std::deque<client_account> m_accounts;
    std::set<std::uint32_t> m_killed_daemons;
    std::uint64_t m_next_id{0};
    time_point m_flood_start;
    time_point m_flood_end;
    double m_lost_capacity{0};          // seconds of slot time without a live home
    double m_lost_eligible_capacity{0}; // the part on eligible servers
};

} // namespace gypsumstep::flood

#include "flood/fleet_model_impl.h"
