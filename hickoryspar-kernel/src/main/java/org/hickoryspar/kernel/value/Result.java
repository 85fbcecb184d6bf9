package org.hickoryspar.kernel.value;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Function;

/**
 * The outcome of an operation that may fail in an expected way.
 *
 * <pre>{@code
 * Result<Integer> port = parsePort(text);
 * String line = port.fold(p -> "error: " + p.message(), n -> "listening on " + n);
 * }</pre>
 *
 * @param <T> the type of the value on success
 */
public sealed interface Result<T> permits Result.Success, Result.Failure {

  /**
   * Returns a successful result.
   *
   * @param value the value
   * @param <T> the type of the value
   * @return a success that holds {@code value}
   */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /**
   * Returns a failed result.
   *
   * @param problem what went wrong
   * @param <T> the type of the value that is missing
   * @return a failure that holds {@code problem}
   */
  static <T> Result<T> failure(Problem problem) {
    return new Failure<>(problem);
  }

  /**
   * Returns a failed result from a code and a message.
   *
   * @param code the stable code
   * @param message the message
   * @param <T> the type of the value that is missing
   * @return a failure
   */
  static <T> Result<T> failure(String code, String message) {
    return new Failure<>(Problem.of(code, message));
  }

  /**
   * Applies one of two functions, depending on the outcome.
   *
   * @param onFailure applied to the problem of a failure
   * @param onSuccess applied to the value of a success
   * @param <U> the type of the result
   * @return the result of the applied function
   */
  <U> U fold(
      Function<? super Problem, ? extends U> onFailure, Function<? super T, ? extends U> onSuccess);

  /**
   * Transforms the value of a success.
   *
   * @param mapper applied to the value
   * @param <U> the type of the new value
   * @return a success with the new value, or this failure
   */
  default <U> Result<U> map(Function<? super T, ? extends U> mapper) {
    requireNonNull(mapper, "mapper is null");
    return fold(Result::failure, value -> success(mapper.apply(value)));
  }

  /**
   * Applies another operation that may fail to the value of a success.
   *
   * @param mapper applied to the value
   * @param <U> the type of the new value
   * @return the result of {@code mapper}, or this failure
   */
  default <U> Result<U> flatMap(Function<? super T, Result<U>> mapper) {
    requireNonNull(mapper, "mapper is null");
    return fold(Result::failure, value -> mapper.apply(value));
  }

  /**
   * Returns the value of a success, or a default value.
   *
   * @param other returned for a failure, not null
   * @return the value or {@code other}
   */
  default T getOrElse(T other) {
    requireNonNull(other, "other is null");
    return fold(problem -> other, value -> value);
  }

  /**
   * Returns the value of a success, or throws an exception.
   *
   * @param toException creates the exception from the problem of a failure
   * @param <X> the type of the exception
   * @return the value
   * @throws X if this is a failure
   */
  default <X extends Exception> T getOrElseThrow(Function<? super Problem, X> toException)
      throws X {
    requireNonNull(toException, "toException is null");
    if (this instanceof Failure<T> failure) {
      throw toException.apply(failure.reason);
    }
    return ((Success<T>) this).value;
  }

  /**
   * Returns whether this is a success.
   *
   * @return true for a success
   */
  default boolean isSuccess() {
    return fold(problem -> false, value -> true);
  }

  /**
   * Returns the problem of a failure, if there is one.
   *
   * @return the problem, or empty for a success
   */
  default Optional<Problem> problem() {
    return fold(Optional::of, value -> Optional.empty());
  }

  /**
   * A successful result.
   *
   * @param value the value
   * @param <T> the type of the value
   */
  record Success<T>(T value) implements Result<T> {

    /**
     * Rejects a missing value.
     *
     * @throws NullPointerException if {@code value} is null
     */
    public Success {
      requireNonNull(value, "value is null");
    }

    @Override
    public <U> U fold(
        Function<? super Problem, ? extends U> onFailure,
        Function<? super T, ? extends U> onSuccess) {
      return onSuccess.apply(value);
    }
  }

  /**
   * A failed result.
   *
   * @param reason what went wrong
   * @param <T> the type of the value that is missing
   */
  record Failure<T>(Problem reason) implements Result<T> {

    /**
     * Rejects a missing problem.
     *
     * @throws NullPointerException if {@code reason} is null
     */
    public Failure {
      requireNonNull(reason, "reason is null");
    }

    @Override
    public <U> U fold(
        Function<? super Problem, ? extends U> onFailure,
        Function<? super T, ? extends U> onSuccess) {
      return onFailure.apply(reason);
    }
  }
}
