#include "promotion_caller.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace gypsumstep::edge {
namespace {

/// One call to the store or the platform; the promotion is tried again after it.
constexpr duration call_limit = 1s;

/// Between announcements of this daemon; each is a paid call.
constexpr std::chrono::seconds announcement_interval{20};

/// Announcements older than this are of daemons that ended; two may be lost.
constexpr promotion::store_time announcement_lifetime{45'000};

/// Pause before an announcement that failed is repeated.
constexpr std::chrono::seconds announcement_retry{2};

const logging::logger& log()
{
    static const logging::logger instance{"promotion"};
    return instance;
}

promotion::store_time local_now()
{
    return std::chrono::floor<promotion::store_time>(boot_now().time_since_epoch());
}

promotion::call_outcome outcome_of(const char* what, const std::string& service,
                                   const result<adapter::http_response>& response)
{
    if (response.has_error()) {
        log().warn(what, {{"service", service}, {"cause", response.error().message}});
        return promotion::call_outcome::failed;
    }
    const auto outcome = adapter::outcome_of(response.value());
    if (outcome != promotion::call_outcome::done) {
        log().warn(what, {{"service", service},
                          {"status", static_cast<std::uint64_t>(response.value().status)}});
    }
    return outcome;
}

} // namespace

promotion_caller::promotion_caller(const adapter::node_settings& settings, proxy::proxy& told,
                                   std::function<void()> after_event)
    : m_daemon{settings.name}, m_proxy{told}, m_after_event{std::move(after_event)},
      m_store{settings.store.host, settings.store.port}, m_platform{settings.platform_api.host,
                                                                    settings.platform_api.port}
{
    m_next_announcement.setSingleShot(true);
    connect(&m_next_announcement, &QTimer::timeout, this, [this] { announce(); });
}

void promotion_caller::announce()
{
    const promotion::announcement value{m_daemon, store_now()};
    m_store.call(adapter::write_announcement(value), call_limit, [this](const auto& response) {
        const auto outcome = outcome_of("could not announce this daemon", "", response);
        m_next_announcement.start(outcome == promotion::call_outcome::done ? announcement_interval
                                                                           : announcement_retry);
    });
}

void promotion_caller::run(const proxy::promotion_step& wanted)
{
    if (std::holds_alternative<promotion::read_shared_state>(wanted.step)) {
        read_state(wanted.service);
    }
    else if (const auto* report = std::get_if<promotion::report_suspicion>(&wanted.step)) {
        report_suspicion(wanted.service, report->primary);
    }
    else if (const auto* claim = std::get_if<promotion::write_claim>(&wanted.step)) {
        write_claim(wanted.service, *claim);
    }
    else if (const auto* promotion = std::get_if<promotion::order_promotion>(&wanted.step)) {
        order(wanted.service, *promotion);
    }
}

void promotion_caller::set_store_clock(promotion::store_time now)
{
    m_clock_offset = now - local_now();
    if (!m_clock_known) {
        m_clock_known = true;
        announce();
    }
}

promotion::store_time promotion_caller::store_now() const
{
    return local_now() + m_clock_offset;
}

void promotion_caller::read_state(const std::string& service)
{
    m_store.call(adapter::read_announcements(), call_limit, [this, service](const auto& response) {
        std::vector<std::string> malformed;
        const auto read = response.has_error()
                              ? result<std::vector<promotion::announcement>>{response.error()}
                              : adapter::decode_announcements(response.value(), malformed);
        if (read.has_error()) {
            log().warn("could not read the daemons' announcements",
                       {{"cause", read.error().message}});
        }
        else {
            const auto oldest = store_now() - announcement_lifetime;
            m_daemons = static_cast<std::size_t>(
                std::count_if(read.value().begin(), read.value().end(),
                              [oldest](const promotion::announcement& each) {
                                  return each.announced_at >= oldest;
                              }));
        }
        for (const std::string& each : malformed) {
            log().warn("ignored a malformed row", {{"service", service}, {"row", each}});
        }
    });
    read_promotion(service);
}

void promotion_caller::read_promotion(const std::string& service)
{
    m_store.call(
        adapter::read_promotion(service), call_limit, [this, service](const auto& response) {
            std::optional<promotion::shared_state> state;
            std::vector<std::string> malformed;
            const auto read = response.has_error()
                                  ? result<promotion::shared_state>{response.error()}
                                  : adapter::decode_promotion(response.value(), malformed);
            if (read.has_error()) {
                log().warn("could not read the promotion's state",
                           {{"service", service}, {"cause", read.error().message}});
            }
            else {
                state = read.value();
            state->daemons = m_daemons;
                set_store_clock(state->now);
            }
            for (const std::string& each : malformed) {
                log().warn("ignored a malformed row", {{"service", service}, {"row", each}});
            }
            m_proxy.on_shared_state(service, state, boot_now());
            m_after_event();
        });
}

void promotion_caller::report_suspicion(const std::string& service, const std::string& primary)
{
    const promotion::suspicion value{m_daemon, primary, store_now()};
    m_store.call(adapter::write_suspicion(service, value), call_limit,
                 [this, service](const auto& response) {
                     const auto outcome =
                         outcome_of("could not report a suspicion", service, response);
                     m_proxy.on_suspicion_written(service, outcome, boot_now());
                     m_after_event();
                 });
}

void promotion_caller::write_claim(const std::string& service, const promotion::write_claim& wanted)
{
    m_store.call(adapter::write_claim(service, wanted), call_limit,
                 [this, service](const auto& response) {
                     const auto outcome =
                         outcome_of("did not get the claim of a promotion", service, response);
                     m_proxy.on_claim_written(service, outcome, boot_now());
                     m_after_event();
                 });
}

void promotion_caller::order(const std::string& service, const promotion::order_promotion& wanted)
{
    m_platform.call(adapter::order_promotion(service, m_daemon, wanted), call_limit,
                    [this, service](const auto& response) {
                        const auto outcome =
                            outcome_of("the platform did not take a promotion", service, response);
                        m_proxy.on_order(service, outcome, boot_now());
                        m_after_event();
                    });
}

} // namespace gypsumstep::edge
