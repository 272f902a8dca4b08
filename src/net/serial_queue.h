#ifndef SRC_NET_SERIAL_QUEUE_H_
#define SRC_NET_SERIAL_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <utility>

#include "src/core/units.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Runs functions on the pool one at a time and in order. State that only these
// functions use needs no lock. A copy refers to the same queue.
class SerialQueue {
 public:
  explicit SerialQueue(WorkerPool& worker_pool)
      : pool(&worker_pool),
        strand(boost::asio::make_strand(worker_pool.context())) {}

  void Post(std::function<void()> task) const {
    boost::asio::post(this->strand, std::move(task));
  }

  // Runs a function after `delay`. Destroying the handle does not prevent the
  // call if the function is already in the queue.
  [[nodiscard]] TimerHandle After(Duration delay,
                                  std::function<void()> task) const {
    return this->pool->After(
        delay, [strand = this->strand, task = std::move(task)]() mutable {
          boost::asio::post(strand, std::move(task));
        });
  }

 private:
  WorkerPool* pool;
  boost::asio::strand<boost::asio::io_context::executor_type> strand;
};

}  // namespace marigold

#endif  // SRC_NET_SERIAL_QUEUE_H_
