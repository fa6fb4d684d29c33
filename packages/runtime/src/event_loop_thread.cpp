#include "gypsumstep/runtime/event_loop_thread.h"

namespace gypsumstep::runtime {

event_loop_thread::event_loop_thread(const std::string& name)
{
    m_thread.setObjectName(QString::fromStdString(name));
}

event_loop_thread::~event_loop_thread()
{
    stop();
}

void event_loop_thread::start(factory make)
{
    m_thread.start();
    m_anchor = std::make_unique<QObject>();
    m_anchor->moveToThread(&m_thread);
    QMetaObject::invokeMethod(
        m_anchor.get(), [this, make = std::move(make)] { m_duty = make(); },
        Qt::BlockingQueuedConnection);
}

void event_loop_thread::stop()
{
    if (!m_anchor) {
        return;
    }
    QMetaObject::invokeMethod(
        m_anchor.get(), [this] { m_duty.reset(); }, Qt::BlockingQueuedConnection);
    m_thread.quit();
    m_thread.wait();
    m_anchor.reset();
}

void post(QObject& receiver, std::function<void()> run)
{
    QMetaObject::invokeMethod(&receiver, std::move(run), Qt::QueuedConnection);
}

} // namespace gypsumstep::runtime
