#ifndef SRC_NET_HTTP_DEADLINE_TIMER_H_
#define SRC_NET_HTTP_DEADLINE_TIMER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <concepts>

#include "src/core/units.h"

namespace marigold::detail {

// What a deadline timer asks of its session. A session in a state without a
// deadline is left alone until the next one is set.
template <class T>
concept TimedSession = requires(T session, const T const_session) {
  session.weak_from_this();
  { const_session.has_deadline() } -> std::same_as<bool>;
  { session.OnDeadline() } -> std::same_as<void>;
};

// The deadline of a session. It moves with each request, so the timer is set
// again only when it fires or has to fire earlier. Used on one strand.
class DeadlineTimer {
 public:
  explicit DeadlineTimer(const boost::asio::any_io_executor& executor)
      : timer(executor) {}

  template <TimedSession Session>
  void Set(Session& session, Duration timeout) {
    this->deadline = std::chrono::steady_clock::now() + timeout;
    if (!this->is_set || this->timer.expiry() > this->deadline) {
      this->Arm(session);
    }
  }

  void Cancel() { this->timer.cancel(); }

 private:
  template <TimedSession Session>
  void Arm(Session& session) {
    this->is_set = true;
    this->timer.expires_at(this->deadline);
    this->timer.async_wait([this, weak = session.weak_from_this()](
                               const boost::system::error_code& error) {
      // The session owns this timer.
      if (const auto self = weak.lock(); self && !error) {
        this->OnExpired(*self);
      }
    });
  }

  template <TimedSession Session>
  void OnExpired(Session& session) {
    this->is_set = false;
    if (!session.has_deadline()) {
      return;
    }
    if (std::chrono::steady_clock::now() < this->deadline) {
      this->Arm(session);
    } else {
      session.OnDeadline();
    }
  }

  boost::asio::steady_timer timer;
  std::chrono::steady_clock::time_point deadline;
  bool is_set = false;
};

}  // namespace marigold::detail

#endif  // SRC_NET_HTTP_DEADLINE_TIMER_H_
