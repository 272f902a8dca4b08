#ifndef SRC_NET_HTTP_DEADLINE_TIMER_H_
#define SRC_NET_HTTP_DEADLINE_TIMER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <concepts>

#include "src/core/units.h"

namespace marigold::detail {

// The interface of a session that has a deadline. While `has_deadline` returns
// false, the timer does nothing until the next deadline is set.
template <class T>
concept TimedSession = requires(T session, const T const_session) {
  session.weak_from_this();
  { const_session.has_deadline() } -> std::same_as<bool>;
  { session.OnDeadline() } -> std::same_as<void>;
};

// Calls a session's `OnDeadline` when its deadline passes. Most deadlines are
// moved before they pass, so the system timer is set again only when it fires
// or has to fire earlier. Used on one strand.
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
      // The session owns this timer, so `this` is valid while `self` is.
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
