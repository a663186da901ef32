/** What a soak does and what it must show; pure, while the run itself is with the cluster. */
package weldcross.chaos.soak;
