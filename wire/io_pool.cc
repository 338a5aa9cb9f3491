#include "wire/io_pool.h"

namespace anvilloom {

io_pool::io_pool(std::size_t threads) {
  for (std::size_t i = 0; i < threads; ++i) {
    // A concurrency hint of 1 lets Asio avoid locking.
    contexts_.push_back(std::make_unique<boost::asio::io_context>(1));
    guards_.emplace_back(contexts_.back()->get_executor());
  }
}

io_pool::~io_pool() {
  Stop();
  threads_.clear();
}

std::size_t io_pool::NextIndex() {
  return next_.fetch_add(1, std::memory_order_relaxed) % contexts_.size();
}

void io_pool::Start() {
  for (const auto& context : contexts_) {
    threads_.emplace_back([raw = context.get()] { raw->run(); });
  }
}

void io_pool::Stop() {
  guards_.clear();
  for (const auto& context : contexts_) {
    context->stop();
  }
  threads_.clear();
}

}  // namespace anvilloom
