#include "src/net/forward/lane.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace marigold {

Lane::Lane(WorkerPool& pool)
    : strand(boost::asio::make_strand(pool.context())),
      timer(strand),
      source(SystemSeed()) {}

void Lane::Post(std::function<void()> task) {
  boost::asio::post(this->strand, std::move(task));
}

Lane::TimerKey Lane::At(MonotonicTime due, std::function<void()> task) {
  const TimerKey key(due, ++this->last_task);
  this->tasks.emplace(key, std::move(task));
  if (due < this->armed_for) {
    this->Arm();
  }
  return key;
}

void Lane::Cancel(const TimerKey& key) {
  // The system timer stays armed: it fires once without work instead of being
  // set again for every request.
  this->tasks.erase(key);
}

void Lane::Arm() {
  if (this->tasks.empty()) {
    this->armed_for = MonotonicTime::max();
    return;
  }
  this->armed_for = this->tasks.begin()->first.first;
  this->timer.expires_after(
      std::max(this->armed_for - this->Now(), Duration::zero()));
  this->timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& e) {
        if (!e) {
          self->OnTimer();
        }
      });
}

void Lane::OnTimer() {
  this->armed_for = MonotonicTime::max();
  const MonotonicTime now = this->Now();
  while (!this->tasks.empty() && this->tasks.begin()->first.first <= now) {
    const std::function<void()> task = std::move(this->tasks.begin()->second);
    this->tasks.erase(this->tasks.begin());
    task();
  }
  this->Arm();
}

}  // namespace marigold
