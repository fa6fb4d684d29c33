/// \file
/// Runs a config::submission against the platform.
#pragma once

#include "gypsumstep/config/submission.h"
#include "gypsumstep/platform/client.h"

#include <QObject>

#include <functional>

namespace gypsumstep::daemon {

/// Performs the actions of one submission until it has an outcome.
class submission_driver : public QObject {
public:
    using handler = std::function<void(const config::submission_outcome&)>;

    /// \param platform outlives this object
    submission_driver(platform::client& platform, config::submission submission, handler done);

    /// Starts the submission. The handler is called once, after this has returned.
    void start();

    [[nodiscard]] bool finished() const { return m_finished; }

private:
    void perform(const config::submission_action& action);
    void perform_one(const config::read_row& action);
    void perform_one(const config::read_object& action);
    void perform_one(const config::store_object& action);
    void perform_one(const config::commit_rows& action);
    void perform_one(const config::wait_for& action);
    void perform_one(const config::submission_outcome& outcome);
    void step(const config::submission_event& event);

    platform::client& m_platform;
    config::submission m_submission;
    handler m_done;
    bool m_finished{false};
};

} // namespace gypsumstep::daemon
