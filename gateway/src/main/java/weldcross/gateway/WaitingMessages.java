package weldcross.gateway;

import java.util.function.Consumer;

/**
 * Messages of a client that are received but not started, and that are answered together.
 *
 * @param count the number of messages, each of which is owed a response
 * @param start starts them; is passed the request that takes the responses
 */
record WaitingMessages(int count, Consumer<PipelinedRequest> start) {}
