/// \file
/// Callers, entry daemons, homes and servers of one fleet in virtual time.
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

/// Drives the decision code of every daemon; \p Policy is that of the server queues.
template <admission::scheduling_policy Policy>
class fleet_model {
public:
    explicit fleet_model(const scenario& value);

    /// Runs the whole scenario.
    [[nodiscard]] outcome run();

private:
    using server_queue = admission::basic_server_queue<Policy>;

    /// One request on its way.
    struct job {
        sample result;
        std::uint32_t entry{0};
        std::uint32_t group{0};
        client_account_id origin;
        std::uint32_t attempts{0};
        time_point deadline;
        duration work{0};
        time_point started;
    };
    using job_ptr = std::shared_ptr<job>;

    /// A daemon's queue for one server.
    struct home {
        std::uint32_t daemon{0};
        std::uint32_t server{0};
        std::uint32_t share{0}; ///< slots, or connections without homes
        bool alive{true};
        std::unique_ptr<server_queue> queue;
        std::unordered_map<std::uint64_t, job_ptr> jobs; ///< by request id
    };

    /// A caller and its own random numbers, so that the same requests arrive with and
    /// without a flood.
    struct caller {
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
        return daemon / m_value.fleet.daemons_per_domain;
    }
    [[nodiscard]] std::uint32_t domain_of_server(std::uint32_t server) const
    {
        return server % m_value.fleet.domains;
    }
    [[nodiscard]] std::uint32_t slots_of(std::uint32_t server) const
    {
        return m_value.fleet.group_slots[server / m_value.fleet.domains];
    }
    [[nodiscard]] std::uint32_t primary_of(std::uint32_t group) const
    {
        return group * m_value.fleet.domains + group % m_value.fleet.domains;
    }
    [[nodiscard]] bool connects_directly() const
    {
        return m_value.how == variant::every_daemon_connects;
    }
    [[nodiscard]] duration delay(std::uint32_t left_domain, std::uint32_t right_domain) const
    {
        return left_domain == right_domain ? m_value.fleet.within_domain
                                           : m_value.fleet.between_domains;
    }
    [[nodiscard]] duration delay(const job& of, const home& at) const
    {
        return delay(domain_of_daemon(of.entry), domain_of_daemon(at.daemon));
    }

    void create_homes();
    void add_home(std::uint32_t daemon, std::uint32_t server, std::uint32_t share);
    caller& add_caller(rank level, bool part_of_flood, double interval);
    void start_callers();
    void start_flood();
    void schedule_faults();
    void kill_daemon(std::uint32_t daemon);
    void arrive(caller& from);
    void arrive_flood(caller& from, time_point burst_start);
    void create(caller& from);
    void send(const job_ptr& work);
    [[nodiscard]] home* choose(const job& work, bool& refused_early);
    [[nodiscard]] std::vector<std::size_t> candidates(const job& work) const;
    void receive(home& at, const job_ptr& work);
    void pump(home& at);
    void start(home& at, const job_ptr& work, std::uint64_t id);
    void answer(home& at, const job_ptr& work, bool ok);
    void refuse(const job_ptr& work);
    void record(const job& work, bool answered);
    [[nodiscard]] bool eligible(std::uint32_t server) const;
    [[nodiscard]] span_result evaluate(time_point from, time_point until) const;
    [[nodiscard]] double capacity(bool eligible_only, time_point from, time_point until) const;
    [[nodiscard]] double capacity_rate() const;

    scenario m_value;
    sim::event_queue m_events;
    random_source m_random;
    measurements m_measured;
    std::vector<std::unique_ptr<server_model>> m_servers;
    std::deque<home> m_homes;
    std::vector<std::vector<std::size_t>> m_homes_of; // by server
    std::vector<entry_daemon> m_entries;
    std::deque<caller> m_callers;
    std::set<std::uint32_t> m_dead; // daemons
    std::uint64_t m_next_id{0};
    time_point m_flood_start;
    time_point m_flood_end;
    double m_lost_capacity{0};          // slot seconds without a live home
    double m_lost_eligible_capacity{0}; // of those, on eligible servers
};

} // namespace gypsumstep::flood

#include "flood/fleet_model_impl.h"
