#include "src/net/forward/strand.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace marigold {

Strand::Strand(WorkerPool& pool)
    : asio_strand(boost::asio::make_strand(pool.context())),
      timer(asio_strand),
      random_source(SystemSeed()) {}

void Strand::Post(std::function<void()> task) {
  boost::asio::post(this->asio_strand, std::move(task));
}

Strand::TimerKey Strand::RunAt(MonotonicTime due, std::function<void()> task) {
  const TimerKey key(due, ++this->last_task_number);
  this->tasks.emplace(key, std::move(task));
  if (due < this->timer_due_at) {
    this->ArmTimer();
  }
  return key;
}

void Strand::Cancel(const TimerKey& key) {
  // The system timer stays armed. It may fire once without work, which is
  // cheaper than setting it again for every request.
  this->tasks.erase(key);
}

void Strand::ArmTimer() {
  if (this->tasks.empty()) {
    this->timer_due_at = MonotonicTime::max();
    return;
  }
  this->timer_due_at = this->tasks.begin()->first.first;
  this->timer.expires_after(
      std::max(this->timer_due_at - this->Now(), Duration::zero()));
  this->timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& e) {
        if (!e) {
          self->OnTimer();
        }
      });
}

void Strand::OnTimer() {
  this->timer_due_at = MonotonicTime::max();
  const MonotonicTime now = this->Now();
  while (!this->tasks.empty() && this->tasks.begin()->first.first <= now) {
    const std::function<void()> task = std::move(this->tasks.begin()->second);
    this->tasks.erase(this->tasks.begin());
    task();
  }
  this->ArmTimer();
}

void StrandTimer::Set(MonotonicTime due, std::function<void()> task) {
  if (this->key && this->key->first == due) {
    return;
  }
  this->Stop();
  this->key = this->strand->RunAt(due, [this, due_task = std::move(task)] {
    this->key.reset();
    // May destroy the timer, but not this function.
    due_task();
  });
}

void StrandTimer::Stop() {
  if (this->key) {
    this->strand->Cancel(*this->key);
    this->key.reset();
  }
}

}  // namespace marigold
