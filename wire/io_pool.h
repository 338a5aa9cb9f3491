// Defines io_pool, a fixed set of threads that each run an io_context.
#ifndef WIRE_IO_POOL_H_
#define WIRE_IO_POOL_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace anvilloom {

// A coroutine spawned on a context stays on the thread of that context, so its
// data needs no strand. Only atomics and RCU cells are shared between threads.
// NextIndex() is thread-safe; Start() and Stop() are not.
class io_pool {
 public:
  explicit io_pool(std::size_t threads);
  // Stops the contexts and joins the threads.
  ~io_pool();
  io_pool(const io_pool&) = delete;
  io_pool& operator=(const io_pool&) = delete;

  std::size_t size() const { return contexts_.size(); }
  boost::asio::io_context& context(std::size_t index) {
    return *contexts_[index];
  }
  // Returns the index of the context for the next connection, round robin.
  std::size_t NextIndex();

  void Start();
  void Stop();

 private:
  using work_guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> contexts_;
  std::vector<work_guard> guards_;
  std::vector<std::jthread> threads_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace anvilloom

#endif  // WIRE_IO_POOL_H_
