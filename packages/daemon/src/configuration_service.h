/// \file
/// Reads the configuration from the platform and submits patches to it.
#pragma once

#include "submission_driver.h"

#include "gypsumstep/config/records.h"
#include "gypsumstep/config/submission.h"
#include "gypsumstep/fleet/document.h"
#include "gypsumstep/platform/client.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gypsumstep::daemon {

/// Polls the platform for new configuration versions. The version in force never decreases.
class configuration_service : public QObject {
public:
    using document_handler = std::function<void(const fleet::document&)>;
    using json = nlohmann::json;

    /// \param platform outlives this object
    /// \param on_document called for each new version that is valid
    configuration_service(platform::client& platform, document_handler on_document);

    /// Version in force in this daemon; 0 before the first one arrived.
    [[nodiscard]] config_version version() const { return m_head.version; }

    /// The complete document in force; null before the first one arrived.
    [[nodiscard]] const json& document() const { return m_document; }

    /// Time since the platform last confirmed that the version in force is current.
    [[nodiscard]] duration confirmed_ago() const;

    /// Submits a patch; \p done is called once.
    void submit(const config::patch& change,
                std::function<void(const config::submission_outcome&)> done);

    /// Reads the latest changes, newest first.
    void read_history(std::function<void(result<std::vector<config::change_record>>)> done);

    /// Reads the document of a version.
    void read_version(config_version version, std::function<void(result<json>)> done);

private:
    void poll();
    void apply_head(const platform::table_row& row);
    void apply_document(const config::head_record& head, const std::string& bytes);
    void read_change(config_version version, std::vector<config::change_record> so_far,
                     std::function<void(result<std::vector<config::change_record>>)> done);

    platform::client& m_platform;
    document_handler m_on_document;
    config::head_record m_head;
    json m_document;
    time_point m_confirmed_at{};
    QTimer m_timer;
    std::vector<std::unique_ptr<submission_driver>> m_submissions;
    std::uint64_t m_submission_count{0};
};

/// Returns every problem of a configuration document.
[[nodiscard]] findings check_configuration(const nlohmann::json& document);

} // namespace gypsumstep::daemon
