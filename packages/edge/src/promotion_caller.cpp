#include "promotion_caller.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <utility>
#include <variant>
#include <vector>

namespace gypsumstep::edge {
namespace {

/// One call to the store or the platform; the promotion is tried again after it.
constexpr duration call_limit = 1s;

const logging::logger& log()
{
    static const logging::logger instance{"promotion"};
    return instance;
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

promotion_caller::promotion_caller(const adapter::node_settings& settings, store_clock& clock,
                                   proxy::proxy& told, home_count homes,
                                   std::function<void()> after_event)
    : m_daemon{settings.name}, m_proxy{told}, m_home_count{std::move(homes)},
      m_after_event{std::move(after_event)}, m_store{settings.store.host, settings.store.port},
      m_platform{settings.platform_api.host, settings.platform_api.port}, m_clock{clock}
{
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

void promotion_caller::read_state(const std::string& service)
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
                state->daemons = m_home_count(service);
                m_clock.set(state->now);
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
    const promotion::suspicion value{m_daemon, primary, m_clock.now()};
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
                        m_proxy.on_promotion_ordered(service, outcome, boot_now());
                        m_after_event();
                    });
}

} // namespace gypsumstep::edge
