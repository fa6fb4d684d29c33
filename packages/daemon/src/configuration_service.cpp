#include "configuration_service.h"

#include "clock.h"

#include "gypsumstep/fleet/parse.h"
#include "gypsumstep/logging/logging.h"

namespace gypsumstep::daemon {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds{1'000};
constexpr std::size_t history_limit = 20;
constexpr std::uint64_t submission_seed = 77;

const logging::logger& log()
{
    static const logging::logger instance{"configuration"};
    return instance;
}

} // namespace

findings check_configuration(const nlohmann::json& document)
{
    return fleet::parse_json(document, "configuration").problems;
}

configuration_service::configuration_service(platform::client& platform,
                                             document_handler on_document)
    : m_platform{platform}, m_on_document{std::move(on_document)}
{
    connect(&m_timer, &QTimer::timeout, this, &configuration_service::poll);
    m_timer.start(poll_interval);
    QTimer::singleShot(0, this, &configuration_service::poll);
}

duration configuration_service::confirmed_ago() const
{
    return steady_now() - m_confirmed_at;
}

void configuration_service::poll()
{
    m_platform.get(config::head_key, [this](const result<platform::table_row>& answer) {
        if (answer.has_value()) {
            apply_head(answer.value());
        }
        else if (m_head.version == config_version{}) {
            log().warn("no configuration yet", {{"reason", answer.error().message}});
        }
    });
}

void configuration_service::apply_head(const platform::table_row& row)
{
    const auto head = config::parse_head(row.value);
    if (head.has_error()) {
        log().error("the configuration head row is malformed", {{"reason", head.error().message}});
        return;
    }
    if (head.value().version <= m_head.version) {
        m_confirmed_at = steady_now();
        return;
    }
    m_platform.get_object(head.value().object,
                          [this, head = head.value()](const result<std::string>& bytes) {
                              if (bytes.has_value()) {
                                  apply_document(head, bytes.value());
                              }
                          });
}

void configuration_service::apply_document(const config::head_record& head,
                                           const std::string& bytes)
{
    auto document = json::parse(bytes, nullptr, false);
    if (document.is_object()) {
        document["version"] = head.version.value();
    }
    auto checked = fleet::parse_json(document, head.object);
    if (!checked.has_value()) {
        for (const finding& problem : checked.problems) {
            log().error("the configuration is not valid", {{"finding", to_string(problem)}});
        }
        return;
    }
    if (head.version <= m_head.version) {
        return;
    }
    m_head = head;
    m_document = std::move(document);
    m_confirmed_at = steady_now();
    log().info(
        "configuration in force",
        {{"version", head.version.value()}, {"author", head.author}, {"reason", head.reason}});
    m_on_document(*checked.value);
}

void configuration_service::submit(const config::patch& change,
                                   std::function<void(const config::submission_outcome&)> done)
{
    std::erase_if(m_submissions, [](const auto& driver) { return driver->finished(); });
    config::submission submission{
        change, check_configuration, config::submission_options{},
        random_source{hash_combine(submission_seed, ++m_submission_count)}};
    auto driver = std::make_unique<submission_driver>(
        m_platform, std::move(submission),
        [this, done = std::move(done)](const config::submission_outcome& outcome) {
            done(outcome);
            poll();
        });
    driver->start();
    m_submissions.push_back(std::move(driver));
}

void configuration_service::read_history(
    std::function<void(result<std::vector<config::change_record>>)> done)
{
    read_change(m_head.version, {}, std::move(done));
}

void configuration_service::read_change(
    config_version version, std::vector<config::change_record> so_far,
    std::function<void(result<std::vector<config::change_record>>)> done)
{
    if (version == config_version{} || so_far.size() == history_limit) {
        done(std::move(so_far));
        return;
    }
    m_platform.get(config::history_key(version),
                   [this, version, so_far = std::move(so_far),
                    done = std::move(done)](const result<platform::table_row>& answer) mutable {
                       if (answer.has_error()) {
                           // The first version may have been stored without a history row.
                           if (answer.error().code == error_code::not_found) {
                               return done(std::move(so_far));
                           }
                           return done(answer.error());
                       }
                       auto change = config::parse_change(answer.value().value);
                       if (change.has_error()) {
                           return done(change.error());
                       }
                       so_far.push_back(std::move(change).value());
                       read_change(config_version{version.value() - 1}, std::move(so_far),
                                   std::move(done));
                   });
}

void configuration_service::read_version(config_version version,
                                         std::function<void(result<json>)> done)
{
    m_platform.get(
        config::history_key(version),
        [this, done = std::move(done)](const result<platform::table_row>& answer) mutable {
            if (answer.has_error()) {
                return done(answer.error());
            }
            const auto change = config::parse_change(answer.value().value);
            if (change.has_error()) {
                return done(change.error());
            }
            m_platform.get_object(config::object_name(change.value().change),
                                  [done = std::move(done)](const result<std::string>& bytes) {
                                      if (bytes.has_error()) {
                                          return done(bytes.error());
                                      }
                                      done(json::parse(bytes.value(), nullptr, false));
                                  });
        });
}

} // namespace gypsumstep::daemon
